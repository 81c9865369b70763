#!/usr/bin/env bash
# Shows that the proofs of a must-hold find the fault they guard against: applies
# each proofs/red/POINT-WHAT.patch, which removes one mechanism, to a scratch
# checkout of HEAD and runs the proofs there. Succeeds only if every patch makes
# a proof fail. Usage: red.sh POINT [WHAT]
set -euo pipefail
cd "$(dirname "$0")/.."
point=${1:?usage: red.sh POINT [WHAT]}
patches=(proofs/red/"$point"-${2:-*}.patch)
[ -e "${patches[0]}" ] || { echo "no patch ${patches[0]}" >&2; exit 1; }
scratch=$(mktemp -d)
trap 'git worktree remove --force "$scratch/tree" 2>/dev/null || true; rm -rf "$scratch"' EXIT
status=0
for patch in "${patches[@]}"; do
  git worktree add --quiet --detach "$scratch/tree" HEAD
  git -C "$scratch/tree" apply "$PWD/$patch"
  (cd "$scratch/tree" && go build work)
  if output=$(cd "$scratch/tree" && ./scripts/proof.sh "$point" 2>&1); then
    echo "STILL GREEN with $patch: the proof of $point does not find the fault"
    status=1
  elif grep -E '^ *--- FAIL: Test(Proof|Scenarios/proof)' <<<"$output"; then
    echo "red as it must be with $patch"
  else
    echo "no proof failed with $patch, but the run did not end well:"
    tail -n 20 <<<"$output"
    status=1
  fi
  git worktree remove --force "$scratch/tree"
done
exit "$status"
