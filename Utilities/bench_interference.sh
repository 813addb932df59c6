#!/bin/bash
# Measures the response times of services and the throughput of batch tasks under each scheduling
# policy. All policies are measured in one invocation on the same set-up, so that the figures can be
# compared: 20 stand-in workers in three failure domains, whose response times grow with the cores
# that batch tasks use on the same worker. useful_core_s counts finished tasks only; lost_core_s is
# the work lost to evictions and expired leases.
set -euo pipefail
cd "$(dirname "$0")/.."
source Utilities/cluster.sh
trap stop_cluster EXIT
seconds=${SECONDS_EACH:-16}

# run LABEL INTERFERENCE PLACEMENT SELECTION WEIGHTING TASKS
run() {
    CONTROL_EXTRA=$'[policy]\ninterference = '"$2"$'\nplacement = '"$3" \
        ENTRY_EXTRA="selection = $4" start_cluster 1 2 20 --service-ms 5 --noise-factor 3 \
        --checkpoint-ms 500
    printf '%s\n' "[price]" "path = /price" "method = GET" "pool = desk" "[sim]" "path = /sim" \
        "method = POST" "kind = batch" "pool = desk" "deadline = 3s" "cores = 8" \
        "eviction_budget = 5" "urgency = low" > "$cluster/routes"
    printf '%s\n' "[desk]" "workers = w*" "weighting = $5" "reserved_slots = 2" > "$cluster/pools"
    put_tables "$cluster/routes" "$cluster/pools"
    await_ready /price
    sleep 1
    if [ "$6" -gt 0 ]; then
        curl -s -X POST -d "{\"tasks\": $6, \"run_time_ms\": 1500}" http://127.0.0.1:8001/sim > /dev/null
        sleep 2
    fi
    "$bin/mango_load" --label "$1" --target 127.0.0.1:8001,127.0.0.1:8002 --path /price \
        --rate 800 --seconds "$seconds" > "$cluster/result"
    local job='{}'
    [ "$6" -gt 0 ] && job=$("${op[@]}" --json job 1)
    python3 - "$cluster/result" "$job" << 'PY'
import json, sys
result = json.load(open(sys.argv[1]))
job = json.loads(sys.argv[2])
runs = job.get("runs", [])
useful = job.get("finished", 0) * 1.5 * 8
lost = sum(run["lost_ms"] for run in runs) * 8 / 1000
print(json.dumps({"label": result["label"], "answered": result["answered"],
    "p50_us": result["p50_us"], "p99_us": result["p99_us"], "p999_us": result["p999_us"],
    "useful_core_s": useful, "lost_core_s": lost,
    "evictions": sum(run["evictions"] for run in runs)}))
PY
    stop_cluster
}

run "no batch" none scored fastest_of_two tail 0
run "no control, random placement and selection" none random random tail 900
run "no control, least outstanding" none least_loaded least_outstanding tail 900
run "no control" none scored fastest_of_two tail 900
run "fixed reservation" reservation scored fastest_of_two tail 900
run "ladder, tail weighting (Lindqvist)" ladder scored fastest_of_two tail 900
run "ladder, batch weighting (Oficina)" ladder scored fastest_of_two batch 900
