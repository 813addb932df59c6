#!/bin/bash
# Measures the latency of the same request sent directly to a worker and through an entry, in one
# invocation for comparison, and then the maximum throughput of one entry, which uses one core.
set -euo pipefail
cd "$(dirname "$0")/.."
source Utilities/cluster.sh
trap stop_cluster EXIT
start_cluster 3 1 8 --service-ms 0 --slots 32
printf '%s\n' "[price]" "path = /price" "method = GET" "pool = desk" > "$cluster/routes"
printf '%s\n' "[desk]" "workers = w*" "request_memory = 1MB" > "$cluster/pools"
put_tables "$cluster/routes" "$cluster/pools"
await_ready /price
sleep 2
for run in 1 2 3; do
    "$bin/mango_load" --label "direct $run" --target 127.0.0.1:9001 --path /price --rate 2000 --seconds 4
    "$bin/mango_load" --label "entry $run" --target 127.0.0.1:8001 --path /price --rate 2000 --seconds 4
done
pid=${cluster_pids[3]}
ticks_before=$(awk '{print $14+$15}' "/proc/$pid/stat")
"$bin/mango_load" --label "entry, most" --target 127.0.0.1:8001 --path /price --callers 48 --seconds 4
ticks_after=$(awk '{print $14+$15}' "/proc/$pid/stat")
echo "{\"label\":\"entry cpu seconds in 4 s\",\"value\":$(echo "scale=2; ($ticks_after - $ticks_before) / 100" | bc)}"
