#!/bin/bash
# Functions that run a cluster on loopback for benchmarks. Source this file, call start_cluster, and
# stop_cluster to end all its processes. Ports: control from 7001, administration from 7101, callers
# from 8001, worker announcements from 8101, workers from 9001.
bin=${MANGO_BIN:-$PWD/build/bin}
cluster_pids=()

launch() {
    local log=$1
    shift
    "$@" > "$cluster/$log.log" 2>&1 &
    cluster_pids+=($!)
}

# start_cluster REPLICAS ENTRIES WORKERS [MANGO_STAND_IN OPTION...]
# CONTROL_EXTRA holds further lines for the settings of the control replicas, and ENTRY_EXTRA for the
# [entry] section of the entries.
start_cluster() {
    local replicas=$1 entries=$2 workers=$3
    shift 3
    cluster=$(mktemp -d)
    (umask 077 && openssl rand -hex 16 > "$cluster/token")
    local listed="" control="" admin="" announce=""
    for ((n = 1; n <= replicas; n++)); do
        listed+="${listed:+, }control-$n@127.0.0.1:$((7000 + n))"
        control+="${control:+, }127.0.0.1:$((7000 + n))"
        admin+="${admin:+,}127.0.0.1:$((7100 + n))"
    done
    for ((n = 1; n <= replicas; n++)); do
        printf '%s\n' "[control]" "cluster = bench" "name = control-$n" \
            "listen = 127.0.0.1:$((7000 + n))" "data = $cluster/control-$n" \
            "replicas = $listed" "log_level = warn" "[admin]" \
            "listen = 127.0.0.1:$((7100 + n))" "token_file = $cluster/token" \
            "${CONTROL_EXTRA:-}" > "$cluster/control-$n.ini"
        launch "control-$n" "$bin/mango_control" --settings "$cluster/control-$n.ini"
    done
    for ((n = 1; n <= entries; n++)); do
        announce+="${announce:+,}127.0.0.1:$((8100 + n))"
        printf '%s\n' "[entry]" "cluster = bench" "name = entry-$n" \
            "failure_domain = domain$n" "data = $cluster/entry-$n" "control = $control" \
            "log_level = warn" "${ENTRY_EXTRA:-}" "[callers]" \
            "listen = 127.0.0.1:$((8000 + n))" "[workers]" \
            "listen = 127.0.0.1:$((8100 + n))" > "$cluster/entry-$n.ini"
        launch "entry-$n" "$bin/mango_entry" --settings "$cluster/entry-$n.ini"
    done
    mkdir "$cluster/checkpoints"
    launch workers "$bin/mango_stand_in" --name w --count "$workers" --address 127.0.0.1:9001 \
        --failure-domain a,b,c --entries "$announce" --checkpoints "$cluster/checkpoints" "$@"
    op=("$bin/mango_operator" --control "$admin" --token-file "$cluster/token")
}

put_tables() {
    "${op[@]}" routes put "$1" > /dev/null
    "${op[@]}" pools put "$2" > /dev/null
}

await_ready() {
    for _ in $(seq 200); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:8001$1")" = 200 ] && return 0
        sleep 0.1
    done
    echo "cluster.sh: entry-1 returned no response with status 200 in 200 attempts" >&2
    return 1
}

stop_cluster() {
    for pid in "${cluster_pids[@]}"; do
        kill -TERM "$pid" 2> /dev/null || true
    done
    for pid in "${cluster_pids[@]}"; do
        wait "$pid" 2> /dev/null || true
    done
    cluster_pids=()
    rm -rf "$cluster"
}
