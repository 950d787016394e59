#!/usr/bin/env bash
# Runs the programs as processes of their own and measures what a request costs
# the router and the sidecar: processor time and resident memory.
# Usage: docs/capacity/processes.sh [RATES] [SECONDS] [OUTPUT-TOKENS]
set -euo pipefail
cd "$(dirname "$0")/../.."
rates=${1:-20,40,80}
seconds=${2:-8}
tokens=${3:-40}
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}
trap stop EXIT
go build -o "$dir" ./router ./sidecar ./standin ./amrctl

"$dir/standin" serve --engines 127.0.0.1:7101 >"$dir/serve.log" 2>&1 & pids+=($!)
"$dir/sidecar" --settings examples/sidecar-engine.yaml >"$dir/sidecar.log" 2>&1 & pids+=($!)
"$dir/sidecar" --settings examples/sidecar-service.yaml >"$dir/sidecar2.log" 2>&1 & pids+=($!)
"$dir/router" --settings examples/router.yaml >"$dir/router.log" 2>&1 & pids+=($!)

export AMRCTL_KEY=key-of-operators AMRCTL_SERVER=http://127.0.0.1:8081 USER=${USER:-operator}
for _ in $(seq 50); do
  if "$dir/amrctl" apply -f examples/records --reason "measure" >"$dir/apply.log" 2>&1; then break; fi
  read -rt 0.2 <> <(:) || true
done
cat "$dir/apply.log"
for _ in $(seq 50); do
  if curl -sf http://127.0.0.1:8081/readyz >/dev/null; then break; fi
  read -rt 0.2 <> <(:) || true
done

metric() { curl -s "http://$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'; }
printf 'rate\trequests\trouter-cpu-ms\tsidecar-cpu-ms\trouter-rss-mb\tsidecar-rss-mb\n'
for rate in ${rates//,/ }; do
  r0=$(metric 127.0.0.1:8081 process_cpu_seconds_total)
  s0=$(metric 127.0.0.1:7401 process_cpu_seconds_total)
  "$dir/standin" load --target http://127.0.0.1:8080 --key key-of-mandacaru --model m1 --rate "$rate" \
    --duration "${seconds}s" --prompt-tokens 9500 --output-tokens "$tokens" >"$dir/load.log" 2>&1 || { cat "$dir/load.log"; exit 1; }
  answered=$(awk 'NR > 1 { print $4 }' "$dir/load.log" | head -1)
  r1=$(metric 127.0.0.1:8081 process_cpu_seconds_total)
  s1=$(metric 127.0.0.1:7401 process_cpu_seconds_total)
  rm1=$(metric 127.0.0.1:8081 process_resident_memory_bytes)
  sm1=$(metric 127.0.0.1:7401 process_resident_memory_bytes)
  awk -v rate="$rate" -v n="$answered" -v r0="$r0" -v r1="$r1" -v s0="$s0" -v s1="$s1" -v rm="$rm1" -v sm="$sm1" \
    'BEGIN { printf "%s\t%s\t%.3f\t%.3f\t%.1f\t%.1f\n", rate, n, (r1-r0)*1000/n, (s1-s0)*1000/n, rm/1e6, sm/1e6 }'
  cat "$dir/load.log" >&2
done
