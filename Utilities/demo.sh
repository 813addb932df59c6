#!/bin/bash
# Builds the system, runs it on loopback, sends requests and a batch job through it, prints each
# response and stops all processes. Exits with 1 if a response is wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/build.sh > /dev/null
bin=$PWD/build/bin
work=$(mktemp -d)
pids=()

finish() {
    local status=$?
    trap - EXIT INT TERM
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2> /dev/null || true
    done
    for pid in "${pids[@]}"; do
        for _ in $(seq 100); do
            kill -0 "$pid" 2> /dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2> /dev/null || true
    done
    [ "$status" -eq 0 ] || tail -n 20 "$work"/*.log
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

start() {
    local log=$1
    shift
    "$@" > "$work/$log.log" 2>&1 &
    pids+=($!)
}

(umask 077 && openssl rand -hex 16 > "$work/token")
replicas="control-1@127.0.0.1:7001, control-2@127.0.0.1:7002, control-3@127.0.0.1:7003"
for n in 1 2 3; do
    cat > "$work/control-$n.ini" << INI
[control]
cluster = demo
name = control-$n
listen = 127.0.0.1:700$n
data = $work/control-$n
replicas = $replicas
[admin]
listen = 127.0.0.1:710$n
token_file = $work/token
INI
    start "control-$n" "$bin/mango_control" --settings "$work/control-$n.ini"
done
domains=(uppsala vasteras)
for n in 1 2; do
    cat > "$work/entry-$n.ini" << INI
[entry]
cluster = demo
name = entry-$n
failure_domain = ${domains[n - 1]}
data = $work/entry-$n
control = 127.0.0.1:7001, 127.0.0.1:7002, 127.0.0.1:7003
[callers]
listen = 127.0.0.1:800$n
[workers]
listen = 127.0.0.1:810$n
INI
    start "entry-$n" "$bin/mango_entry" --settings "$work/entry-$n.ini"
done
mkdir "$work/checkpoints"
for n in 1 2 3 4 5 6; do
    domain=$(echo uppsala vasteras orebro | cut -d' ' -f$(((n - 1) % 3 + 1)))
    start "desk-$n" "$bin/mango_stand_in" --name "desk-$n" --address "127.0.0.1:900$n" \
        --failure-domain "$domain" --entries 127.0.0.1:8101,127.0.0.1:8102 \
        --checkpoints "$work/checkpoints"
done

op() {
    "$bin/mango_operator" --control 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103 \
        --token-file "$work/token" "$@"
}
cat > "$work/routes" << INI
[price-check]
path = /price
method = GET
pool = order-desk
deadline = 500ms
[order]
path = /order
method = POST
pool = order-desk
deadline = 2s
[restock]
path = /restock
method = POST
kind = batch
pool = order-desk
deadline = 3s
team = warehouse
INI
cat > "$work/pools" << INI
[order-desk]
workers = desk-*
quotas = warehouse:64
INI
echo "== Tables"
op routes put "$work/routes"
op pools put "$work/pools"
echo "== Waiting for workers"
for _ in $(seq 100); do
    code=$(curl -s -o /dev/null -w '%{http_code}' http://127.0.0.1:8001/price) || true
    [ "$code" = 200 ] && break
    sleep 0.1
done
op workers

fail() {
    echo "demo: $*" >&2
    exit 1
}
echo "== A price check at each entry"
for port in 8001 8002; do
    answer=$(curl -sS -H 'X-Nonce: demo' "http://127.0.0.1:$port/price?item=chalk")
    echo "$answer"
    [[ $answer == *'"nonce":"demo"'* ]] || fail "the response from port $port does not echo the nonce"
done
echo "== An order sent to one entry and resent to the other"
first=$(curl -sS -X POST -H 'Idempotency-Key: order-1' -d 'forty boxes' http://127.0.0.1:8001/order)
second=$(curl -sS -X POST -H 'Idempotency-Key: order-1' -d 'forty boxes' http://127.0.0.1:8002/order)
echo "$first"
[[ $first == *'"runs":1'* && $first == "$second" ]] || fail "the resent order was executed again or got another response"
echo "== A batch job of four tasks"
job=$(curl -sS -X POST -d '{"tasks": 4, "run_time_ms": 800}' http://127.0.0.1:8002/restock)
echo "$job"
id=$(echo "$job" | tr -dc '0-9')
for _ in $(seq 150); do
    state=$(curl -sS "http://127.0.0.1:8001/mango/v1/jobs/$id")
    [[ $state == *'"phase":"finished","route"'* ]] && break
    sleep 0.1
done
op job "$id"
[[ $state == *'"phase":"finished","route"'* ]] || fail "the job did not finish"
echo "== A failure domain taken out of service and back"
op domain out uppsala
op domain in uppsala
echo "== Load: 500 price checks per second for 2 seconds"
"$bin/mango_load" --target 127.0.0.1:8001,127.0.0.1:8002 --path /price --rate 500 --seconds 2
echo "== The timeline of task $id/0"
"$bin/mango_timeline" --task "$id/0" "$work"/*/timeline.jsonl
echo "== Done; draining and stopping"
