#!/usr/bin/env bash
# Measures what an agent spends against the number of VMs, client accounts,
# backend servers, routes, requests and configuration changes, with small
# stand-ins on loopback, and prints one line for each figure:
#
#   series <TAB> size <TAB> measure <TAB> value
#
# Values are means over the agents (lacewing_*, agent_*) or entries (entry_*), per
# second where a measure has a rate. The size of the series "requests" and
# "protected" is the rate of one VM; that of "changes" is the number of client
# accounts, with one change a second; those of "active" and "services" are the
# client accounts and services that each VM gets two requests a second of. Feed
# the output to "lacewingctl capacity fit". Starts at most 190 processes and takes
# about six minutes. LACEWING_NET picks the loopback network; arguments pick series.
set -euo pipefail
cd "$(dirname "$0")/.."
net=${LACEWING_NET:-127.79}
settle=2 # seconds before a measurement
window=4 # seconds of a measurement
run=run/slopes
source scripts/lib.sh
trap stop_all EXIT
export LACEWING_CREDENTIAL=slopes-operator
platform=$net.0.1:7000

questionnaire() { # questionnaire ACCOUNTS SERVERS ROUTES [SERVERS-OF-A-SERVICE]
  local service left=$2 count most=${4:-200}
  printf 'partner: slopes\nconcern: detection-time\nservices:\n'
  for ((service = 1; left > 0; service++)); do
    count=$((left < most ? left : most))
    printf '  - name: service-%d\n    floor: 1\n    slots: 6\n    connections: 400\n' "$service"
    printf '    servers: [{zone: a, first: "%s.%d.1:9000", count: %d}]\n    requests:\n' "$net" "$service" "$count"
    printf '      - {path: /service-%d, methods: [GET], answer_within: 2s}\n' "$service"
    if [ "$service" = 1 ]; then
      printf '      - {path: /orders, methods: [POST], never_twice: true, answer_within: 2s}\n'
      [ "$3" -lt 2 ] || printf '      - {path: /route-%d, methods: [GET], answer_within: 2s}\n' $(seq 2 "$3")
    fi
    left=$((left - count))
  done
  printf 'client_accounts:\n'
  printf '  - {name: account-%d, rate: 1000, burst: 1000}\n' $(seq "$1")
}

start_agents() { # start_agents VMS
  { echo "listen: $platform"; echo "vms:"; } >"$run/platform.yaml"
  for i in $(seq "$1"); do
    echo "  - {name: vm-$i, zone: a, address: \"$net.100.$i:7100\"}" >>"$run/platform.yaml"
    echo "{vm: vm-$i, zone: a, listen: \"$net.100.$i:7100\", admin: \"$net.100.$i:7101\", platform: \"http://$platform\"}" >"$run/agent-$i.yaml"
  done
  start platform standin-platform "$run/platform.yaml"
  agents=()
  for i in $(seq "$1"); do
    start "agent-$i" lacewing-agent "$run/agent-$i.yaml"
    agents+=($!)
  done
  for i in $(seq "$1"); do await "http://$net.100.$i:7101/readyz"; done
}

start_backends() { # the backend servers of the section, at most 60
  { echo "admin: $net.0.2:7002"; echo "servers:"; } >"$run/backend.yaml"
  awk '/name:/ {name = $NF} /address:/ && n++ < 60 {print "  - {name: " name ", listen: \"" $2 "\"}"}' \
    "$run/section.yaml" >>"$run/backend.yaml"
  start backend standin-backend "$run/backend.yaml"
}

start_entries() { # start_entries VMS
  entries=()
  for i in $(seq "$1"); do
    echo "{vm: vm-$i, zone: a, listen: \"$net.100.$i:8000\", admin: \"$net.100.$i:8001\", agent: \"$net.100.$i:7100\", drain_delay: 10ms}" >"$run/entry-$i.yaml"
    start "entry-$i" lacewing-entry "$run/entry-$i.yaml"
    entries+=($!)
  done
}

grant() { # grant ACCOUNT
  bin/lacewingctl key grant --platform "http://$platform" --partner slopes --account "$1"
}

grant_each_second() { # grant_each_second COUNT
  for _ in $(seq "$1"); do
    grant account-1 >/dev/null &
    sleep 1
    wait $!
  done
}

counters() { # prints "name value" of all agents
  for i in $(seq "${#agents[@]}"); do curl --silent --max-time 2 "http://$net.100.$i:7101/metrics"; done |
    grep -E '^lacewing_(wire|store)' || true
}

cpu_us() { # cpu_us PID...: processor time so far
  local pid
  for pid in "$@"; do cat /proc/"$pid"/task/*/schedstat; done | awk '{sum += $1} END {printf "%d\n", sum / 1000}'
}

config_sizes() { # prints the bytes of the stored configuration and of its largest value
  curl --silent --max-time 5 --json '{"key": "config/"}' "http://$platform/v1/list" | grep -o '"value":"[^"]*"' |
    awk '{n = (length($0) - 10) * 3 / 4; sum += n; if (n > most) most = n}
      END {print "config_bytes", sum + 0; print "config_largest_value_bytes", most + 0}'
}

# measure SERIES SIZE COMMAND...: runs the command during the window.
measure() {
  local series=$1 size=$2 agent entry started elapsed load counted span
  shift 2
  sleep "$settle"
  counted=${EPOCHREALTIME/./}
  counters >"$run/before"
  agent=$(cpu_us "${agents[@]}") entry=$(cpu_us "${entries[@]}")
  started=${EPOCHREALTIME/./}
  "$@" &
  load=$!
  sleep "$window"
  wait "$load"
  agent=$(($(cpu_us "${agents[@]}") - agent)) entry=$(($(cpu_us "${entries[@]}") - entry))
  elapsed=$((${EPOCHREALTIME/./} - started)) # microseconds
  # Both rounds reach an agent after the same delay, so its counters span this.
  span=$((${EPOCHREALTIME/./} - counted)) # microseconds
  counters >"$run/after"
  {
    echo "agent_cpu_us $((agent * 1000000 / elapsed))"
    echo "entry_cpu_us $((entry * 1000000 / elapsed))"
    for pid in "${agents[@]}"; do echo "agent_rss_kb $(resident_kb "$pid")"; done
    for pid in "${entries[@]}"; do echo "entry_rss_kb $(resident_kb "$pid")"; done
    config_sizes | awk -v n="${#agents[@]}" '{print $1, $2 * n}'
    awk -v w="$span" 'NR == FNR {was[$1] += $2; next} {now[$1] += $2} END {for (n in now) print n, (now[n] - was[n]) * 1000000 / w}' "$run/before" "$run/after"
  } | awk -v n="${#agents[@]}" -v s="$series" -v x="$size" '{sum[$1] += $2} END {for (m in sum) printf "%s\t%s\t%s\t%.2f\n", s, x, m, sum[m] / n}' | sort
}

# point SERIES SIZE VMS ACCOUNTS SERVERS ROUTES KEYS [MIX]: one measurement on a
# fresh fleet, idle, with one change a second, or under the load of mixes.
point() {
  local series=$1 size=$2 vms=$3 keys=$7 mix=${8:-} key mixes=() most=200
  [ "$series" != services ] || most=1
  rm -rf "$run" && mkdir -p "$run"
  pids=()
  start_agents "$vms"
  questionnaire "$4" "$5" "$6" "$most" >"$run/questionnaire.yaml"
  bin/lacewingctl generate "$run/questionnaire.yaml" -o "$run/section.yaml"
  start_backends
  start_entries "$vms"
  bin/lacewingctl apply --platform "http://$platform" --wait 30s "$run/section.yaml" >/dev/null
  for i in $(seq "$vms"); do await "http://$net.100.$i:8001/readyz"; done
  for _ in $(seq "$keys"); do key=$(grant account-1); done
  case "$series" in
    active) for i in $(seq "$size"); do mixes+=("{account: account-$i, key: $(grant "account-$i"), method: GET, path: /service-1, rate: 8, size: 500}"); done ;;
    services) for i in $(seq "$size"); do mixes+=("{account: account-1, key: $key, method: GET, path: /service-$i, rate: 8, size: 500}"); done ;;
    *) mixes=("{account: account-1, key: $key, $mix}") ;;
  esac
  case "$mix" in
    "") measure "$series" "$size" true ;;
    changes) measure "$series" "$size" grant_each_second "$window" ;;
    *)
      printf 'duration: %ds\nentries: [%s]\nmixes: [%s]\n' "$window" \
        "$(seq -s, -f "$net.100.%g:8000" "$vms")" "$(IFS=,; echo "${mixes[*]}")" >"$run/load.yaml"
      measure "$series" "$size" bin/lacewing-load --json "$run/report.json" "$run/load.yaml" | grep -P '\t' ;;
  esac
  stop_all
}

wanted=${*:-vms accounts servers routes keys requests protected active services changes}
for series in $wanted; do
  case "$series" in
    vms) for n in 4 16 48 90; do point vms $n $n 16 20 10 1; done ;;
    accounts) for n in 100 1000 4000; do point accounts $n 8 $n 20 10 1; done ;;
    servers) for n in 50 400 1600; do point servers $n 8 16 $n 10 1; done ;;
    routes) for n in 10 500 2000; do point routes $n 8 16 20 $n 1; done ;;
    keys) for n in 1 10 30; do point keys $n 8 16 20 10 $n; done ;;
    requests) for n in 10 100 400; do point requests $n 4 16 8 10 1 "method: GET, path: /service-1, rate: $((4 * n)), size: 500"; done ;;
    protected) for n in 2 8 24; do point protected $n 4 16 8 10 1 "method: POST, path: /orders, rate: $((4 * n)), size: 500, upload: 300, protected: true"; done ;;
    active) for n in 2 10 30; do point active $n 4 40 8 10 1 mixes; done ;;
    services) for n in 2 10 30; do point services $n 4 16 $n 10 1 mixes; done ;;
    changes) for n in 100 1000 4000; do point changes $n 8 $n 20 10 1 changes; done ;;
    *) echo "no series $series" >&2; exit 1 ;;
  esac
done
