#!/usr/bin/env bash
# Runs three VMs, a platform stand-in and the backend servers of both partners'
# examples on loopback, sends a seeded load and prints a report.
# LACEWING_NET picks the loopback network, for running several demos at once.
set -euo pipefail
cd "$(dirname "$0")/.."
net=${LACEWING_NET:-127.77}
vms=${LACEWING_VMS:-3}
seconds=${LACEWING_SECONDS:-10}
run=run/demo
rm -rf "$run" && mkdir -p "$run"
source scripts/lib.sh
trap stop_all EXIT

platform=$net.0.1:7000
zones=(jeonju gwangju mokpo)
{
  echo "listen: $platform"
  echo "vms:"
  for i in $(seq "$vms"); do
    echo "  - {name: vm-$i, zone: ${zones[i % 3]}, address: \"$net.100.$i:7100\"}"
  done
} >"$run/platform.yaml"
start platform standin-platform "$run/platform.yaml"

for partner in haneul-sijip chakalov; do
  sed "s/127\.77\./$net./" "examples/$partner.yaml" >"$run/$partner.questionnaire.yaml"
  bin/lacewingctl generate "$run/$partner.questionnaire.yaml" -o "$run/$partner.yaml"
done
bin/lacewingctl validate "$run/haneul-sijip.yaml" "$run/chakalov.yaml"

{
  echo "admin: $net.0.2:7002"
  echo "servers:"
  for partner in haneul-sijip chakalov; do
    awk '/^- name:|^  - name:|^    - name:/ {name = $3} /address:/ {print "  - {name: " name ", listen: \"" $2 "\"}"}' "$run/$partner.yaml"
  done
} >"$run/backend.yaml"
start backend standin-backend "$run/backend.yaml"

for i in $(seq "$vms"); do
  zone=${zones[i % 3]}
  printf 'vm: vm-%s\nzone: %s\nlisten: %s:7100\nadmin: %s:7101\nplatform: http://%s\n' \
    "$i" "$zone" "$net.100.$i" "$net.100.$i" "$platform" >"$run/agent-$i.yaml"
  printf 'vm: vm-%s\nzone: %s\nlisten: %s:8000\nadmin: %s:8001\nagent: %s:7100\ndrain_delay: 200ms\n' \
    "$i" "$zone" "$net.100.$i" "$net.100.$i" "$net.100.$i" >"$run/entry-$i.yaml"
  start "agent-$i" lacewing-agent "$run/agent-$i.yaml"
  start "entry-$i" lacewing-entry "$run/entry-$i.yaml"
done
for i in $(seq "$vms"); do await "http://$net.100.$i:7101/readyz"; done

apply() { LACEWING_CREDENTIAL=$1-operator bin/lacewingctl apply --platform "http://$platform" "$run/$1.yaml"; }
apply haneul-sijip
apply chakalov
for i in $(seq "$vms"); do await "http://$net.100.$i:8001/readyz"; done

grant() { # grant PARTNER ACCOUNT
  LACEWING_CREDENTIAL=$1-operator bin/lacewingctl key grant --platform "http://$platform" --partner "$1" --account "$2"
}
reader=$(grant haneul-sijip reader-web)
shops=$(grant haneul-sijip bookshops)
poet=$(grant haneul-sijip poets)
foreman=$(grant chakalov foremen)
{
  echo "entries:"
  for i in $(seq "$vms"); do echo "  - $net.100.$i:8000"; done
  cat <<YAML
direct: ["$net.1.1:9000"]
seed: 20261204
duration: ${seconds}s
accounts:
  - {name: reader-web, rate: 120, burst: 60}
  - {name: bookshops, rate: 60, burst: 40}
  - {name: poets, rate: 10, burst: 10}
  - {name: foremen, rate: 120, burst: 60}
mixes:
  - {account: reader-web, key: $reader, method: GET, path: /shelf/today, rate: 40, size: 2000}
  - {account: bookshops, key: $shops, method: POST, path: /renewals, rate: 8, upload: 300, protected: true, duplicate: 0.5}
  - {account: poets, key: $poet, method: PUT, path: /chapbooks/spring, rate: 1, upload: 1000000}
  - {account: foremen, key: $foreman, method: GET, path: /stock/bags, rate: 40, size: 2000}
  - {method: GET, path: /covers/1, rate: 10, size: 300000}
YAML
} >"$run/load.yaml"

echo "--- load"
bin/lacewing-load "$run/load.yaml" --json "$run/report.json"

echo "--- protected requests that ran more than once"
report=$(curl --silent "http://$net.0.2:7002/report")
doubled=$(grep -oE '"[0-9a-f-]{36}":[0-9]+' <<<"$report" | grep -vc ':1$' || true)
echo "$doubled"
echo "--- status"
bin/lacewingctl status --platform "http://$platform"
echo "--- time line (last 12 events)"
admins=()
for i in $(seq "$vms"); do admins+=("$net.100.$i:7101" "$net.100.$i:8001"); done
bin/lacewingctl timeline --last 12 "${admins[@]}"
[ "$doubled" = 0 ] || { echo "demo failed: a protected request ran twice" >&2; exit 1; }

echo "--- users' platform: $vms gateways, one server fails for some seconds"
bin/standin-deployment "$run" --listen "$net.0.3:7003" --vms "$vms" >"$run/deployment.txt" 2>"$run/deployment.log" &
deployment=$!
pids+=("$deployment")
for i in $(seq "$vms"); do
  settings=$run/vm-$i.settings
  for _ in $(seq 50); do [ -s "$settings" ] && break || sleep 0.1; done
  LACEWINGMOUNT_BOOT=$settings bin/lacewing-gateway >"$run/gateway-$i.log" 2>&1 &
  pids+=($!)
done
wait "$deployment" || { cat "$run/deployment.log" >&2; exit 1; }
cat "$run/deployment.txt"
example=$(awk '/^example/ {print $2}' "$run/deployment.txt")
if [ -n "$example" ]; then
  echo "--- lacewingctl explain $example"
  bin/lacewingctl explain "$example" "$run"/gateway-*.log
fi
echo "demo passed"
