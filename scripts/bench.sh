#!/usr/bin/env bash
# Measures one entry on loopback against the backend stand-in called directly in
# the same run: throughput and processor time in a closed loop, added latency in
# open loops. Takes under 60 s.
# LACEWING_NET picks the loopback network; LACEWING_PROFILE=FILE keeps a profile
# of the entry's processor time.
set -euo pipefail
cd "$(dirname "$0")/.."
net=${LACEWING_NET:-127.78}
profile=${LACEWING_PROFILE:-}
entry_procs=2 # cores that the entry may use, as on a small VM
run=run/bench
rm -rf "$run" && mkdir -p "$run"
source scripts/lib.sh
trap stop_all EXIT

cat >"$run/questionnaire.yaml" <<YAML
partner: bench
concern: detection-time
services:
  - name: shelf
    floor: 1
    slots: 100
    connections: 400
    servers: [{zone: a, first: "$net.1.1:9000", count: 8}]
    requests:
      - {path: /shelf, methods: [GET], answer_within: 5s}
      - {path: /renewals, methods: [POST], never_twice: true, answer_within: 5s}
      - {path: /uploads, methods: [PUT], upload: true}
client_accounts:
  - {name: reader, rate: 1000000, burst: 1000000}
YAML
cat >"$run/platform.yaml" <<YAML
listen: $net.0.1:7000
vms: [{name: vm-1, zone: a, address: "$net.100.1:7100"}]
YAML
cat >"$run/backend.yaml" <<YAML
admin: $net.0.2:7002
servers:
YAML
for i in $(seq 8); do echo "  - {name: shelf-$i, listen: \"$net.1.$i:9000\"}"; done >>"$run/backend.yaml"
servers=$(seq -s, -f "$net.1.%g:9000" 8)
cat >"$run/agent.yaml" <<YAML
{vm: vm-1, zone: a, listen: "$net.100.1:7100", admin: "$net.100.1:7101", platform: "http://$net.0.1:7000"}
YAML
cat >"$run/entry.yaml" <<YAML
{vm: vm-1, zone: a, listen: "$net.100.1:8000", admin: "$net.100.1:8001", agent: "$net.100.1:7100", drain_delay: 100ms, profile: true}
YAML

start platform standin-platform "$run/platform.yaml"
start backend standin-backend "$run/backend.yaml"
start agent lacewing-agent "$run/agent.yaml"
agent_pid=$!
GOMAXPROCS=$entry_procs start entry lacewing-entry "$run/entry.yaml"
entry_pid=$!
await "http://$net.100.1:7101/readyz"
export LACEWING_CREDENTIAL=bench-operator
bin/lacewingctl generate "$run/questionnaire.yaml" -o "$run/section.yaml"
bin/lacewingctl apply --platform "http://$net.0.1:7000" "$run/section.yaml" >/dev/null
await "http://$net.100.1:8001/readyz"
key=$(bin/lacewingctl key grant --platform "http://$net.0.1:7000" --partner bench --account reader)

measure() { # measure NAME SECONDS MIX...: runs the mixes and reports processor time
  local name=$1 seconds=$2 agent entry answers
  shift 2
  printf 'entries: ["%s"]\ndirect: [%s]\nseed: 20261204\nduration: %ss\nmixes:\n' \
    "$net.100.1:8000" "$servers" "$seconds" >"$run/$name.yaml"
  printf -- "  - {account: reader, key: $key, %s}\n" "$@" >>"$run/$name.yaml"
  agent=$(cpu_ms "$agent_pid") entry=$(cpu_ms "$entry_pid")
  echo "--- $name"
  bin/lacewing-load "$run/$name.yaml" --json "$run/$name.json"
  agent=$(($(cpu_ms "$agent_pid") - agent)) entry=$(($(cpu_ms "$entry_pid") - entry))
  answers=$(awk '/"through"/ {in_way = 1} /"direct"/ {in_way = 0} in_way && /"sent"/ {gsub(/[^0-9]/, ""); sum += $0} END {print sum}' "$run/$name.json")
  awk -v a="$agent" -v e="$entry" -v n="$answers" 'BEGIN {printf "  processor time a request: entry %.0f us, agent %.0f us\n", 1000 * e / n, 1000 * a / n}'
}

read_mix='method: GET, path: /shelf/today, size: 2000'
echo "one entry on $entry_procs cores; $(nproc) cores shared with load and stand-ins; load average $(cut -d' ' -f1 /proc/loadavg)"
if [ -n "$profile" ]; then
  curl --silent --output "$profile" "http://$net.100.1:8001/debug/pprof/profile?seconds=8" &
fi
measure closed-loop 10 "$read_mix, workers: 32"
measure one-caller 5 "$read_mix, workers: 1"
# 213 requests a second is an entry's part of 190,000 over 890 nodes.
measure open-loop 20 "$read_mix, rate: 213" \
  "method: POST, path: /renewals, upload: 300, protected: true, rate: 10" \
  "method: PUT, path: /uploads/one, upload: 1000000, rate: 2"
