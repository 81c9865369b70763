#!/usr/bin/env bash
# Points every module of the workspace at its siblings and tidies it, so that each also builds alone.
set -euo pipefail
cd "$(dirname "$0")/.."
modules=$(sed -n 's|^\t\./||p' go.work)
for module in $modules; do
  [ -f "$module/go.mod" ] || (cd "$module" && GOWORK=off go mod init "lacewingmount.dev/$module" && go mod edit -go=1.26.0)
  for sibling in $modules; do
    [ "$sibling" = "$module" ] || (cd "$module" && GOWORK=off go mod edit -replace "lacewingmount.dev/$sibling=../$sibling")
  done
done
for module in $modules; do
  (cd "$module" && GOWORK=off go mod tidy)
done
