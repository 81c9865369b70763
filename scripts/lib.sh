# Starts and stops programs for the scripts beside it. Set run to the folder for
# logs and settings before use.
pids=()

start() { # start NAME PROGRAM SETTINGS
  "bin/$2" "$3" 2>"$run/$1.log" &
  pids+=($!)
}

stop_all() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  wait || true
}

await() { # await URL
  for _ in $(seq 100); do
    curl --silent --fail --max-time 1 --output /dev/null "$1" && return
    sleep 0.1
  done
  echo "no answer from $1; see $run/*.log" >&2
  exit 1
}

cpu_ms() { # cpu_ms PID: processor time used so far, in milliseconds
  awk -v hz="$(getconf CLK_TCK)" '{sub(/.*\) /, ""); printf "%d\n", ($12 + $13) * 1000 / hz}' "/proc/$1/stat"
}

resident_kb() { # resident_kb PID: resident memory in KiB
  awk '/^VmRSS:/ {print $2}' "/proc/$1/status"
}
