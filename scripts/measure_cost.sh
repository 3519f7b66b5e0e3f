#!/usr/bin/env bash
# Measures what the daemon costs: the control work of idle daemons for several
# numbers of instances, models and endpoints, and the latency and processor
# time that the daemon adds to requests. Writes tables to stdout.
# usage: scripts/measure_cost.sh [control|traffic]
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-all}
seconds=${TQ_MEASURE_SECONDS:-20}
base=${TQ_MEASURE_PORT:-18000}
bin=${TQ_BUILD_DIR:-build}/bin
. scripts/lib/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT

tqctl() {
    "$bin/tqctl" --address "127.0.0.1:$((base + 101))" --output json "$@"
}

# ticks PID...: processor time in clock ticks (1/100 s), summed.
ticks() {
    local pid
    for pid in "$@"; do cat "/proc/$pid/stat"; done |
        awk '{ sum += $14 + $15 } END { print sum }'
}
# resident PID: resident memory in KiB.
resident() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
# tcp_bytes PID: bytes sent and received on the open connections.
tcp_bytes() {
    ss -tinpH | awk -v pid="pid=$1," '
        /users:/ { mine = index($0, pid) > 0 }
        mine {
            for (i = 1; i <= NF; ++i)
                if ($i ~ /^bytes_(sent|received):/) {
                    split($i, part, ":"); sum += part[2]
                }
        }
        END { print sum + 0 }'
}

# deploy INSTANCES ENGINES: starts everything; daemon 1 is the measured one.
deploy() {
    local instances=$1 engines=$2 i
    daemons=()
    start platform "$bin/tq-standin" platform
    address platform platform >/dev/null
    for i in $(seq "$engines"); do
        start "engine$i" "$bin/tq-standin" engine \
            --capacity-bytes 4000000000000 --token-ms 5 --batch-slope 0 \
            --max-batch 256
        address "engine$i" engine >/dev/null
    done
    for i in $(seq "$instances"); do
        write_settings "$i" "$instances" z1 "$base"
        list "i$i" "127.0.0.1:$((base + i))"
        start_daemon "$i"
        if [ "$i" = 1 ]; then measured=$last_pid; fi
        daemons+=("$last_pid")
    done
    for i in $(seq "$instances"); do
        wait_ok "daemon $i" curl -sf "http://127.0.0.1:$((base + i))/healthz"
    done
}

# configure MODELS ENGINES
configure() {
    local i
    for i in $(seq "$1"); do
        tqctl model put "m$i" --version 1 --bytes 1000000000 >/dev/null
    done
    for i in $(seq "$2"); do
        tqctl endpoint put "e$i" --zone z1 --region r1 --accelerators 1 \
            --endpoint-address "$(address "engine$i" engine)" \
            --capacity-bytes 4000000000000 --honours-fencing >/dev/null
    done
}

# control INSTANCES MODELS ENGINES: one row of the control table.
control() {
    deploy "$1" "$3"
    configure "$2" "$3"
    sleep 12 # membership, epoch and first placement have ended
    local t0 b0 t1 b1
    t0=$(ticks "$measured") b0=$(tcp_bytes "$measured")
    sleep "$seconds"
    t1=$(ticks "$measured") b1=$(tcp_bytes "$measured")
    awk -v i="$1" -v m="$2" -v e="$3" -v t="$((t1 - t0))" \
        -v b="$((b1 - b0))" -v s="$seconds" -v r="$(resident "$measured")" \
        'BEGIN { printf "| %d | %d | %d | %.2f | %.2f | %.1f |\n",
                 i, m, e, t / s, b / s / 1000, r / 1024 }'
    stop_all
}

# load LABEL RATE ARGUMENT...: one run of the load tool; prints one row.
load() {
    local label=$1 rate=$2 t0 t1
    shift 2
    t0=$(ticks "${daemons[@]}")
    "$bin/tq-load" --model m1 --rate "$rate" --duration "$seconds" --seed 1 \
        --prompt-bytes 400 --max-tokens 32 --max-in-flight 500 \
        --json "$work/report.json" "$@" >/dev/null
    t1=$(ticks "${daemons[@]}")
    # The report has one value a line; the first p50 after a name is its own.
    awk -v label="$label" -v rate="$rate" -v ticks=$((t1 - t0)) '
        /"(first_token|between_tokens|total)": \{/ { name = $1 }
        /"p50_ms"/ { p50[name] = $2 + 0 }
        /"p99_ms"/ { p99[name] = $2 + 0 }
        /"complete"/ { complete = $2 + 0 }
        /"tokens"/ { tokens = $2 + 0 }
        END {
            first = "\"first_token\":"
            between = "\"between_tokens\":"
            printf "| %s | %d | %d | %d | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
                label, rate, complete, tokens, p50[first], p99[first],
                p50[between], p99[between], ticks * 10 / complete
        }' "$work/report.json"
}

traffic() {
    deploy 3 1
    configure 1 1
    tqctl workspace put acme --rate 10000000 --burst 100000000 >/dev/null
    local key rate run
    key=$(issue_key k1 acme)
    wait_ok "the model" curl -sf -H "Authorization: Bearer $key" \
        -d '{"model":"m1","max_tokens":1,"messages":[{"role":"user","content":"x"}]}' \
        "http://127.0.0.1:$((base + 1))/v1/chat/completions"
    sleep 12 # the epoch is open
    echo "| path | requests/s | complete | tokens | first p50 ms | p99 |" \
        "between p50 ms | p99 | daemon CPU ms a request |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    for rate in 50 100 200; do
        for run in 1 2 3; do
            load direct $rate --direct "$(address engine1 engine)"
            load "through daemons" $rate --entry "127.0.0.1:$((base + 1))" \
                --workspace acme --key "$key"
        done
    done
    stop_all
}

if [ "$what" != traffic ]; then
    echo "| instances | models | endpoints | % of a core | KB a second | MiB |"
    echo "| --- | --- | --- | --- | --- | --- |"
    for instances in 1 3 6 12 24; do control $instances 10 3; done
    for models in 100 630; do control 3 $models 3; done
    for endpoints in 12 24; do control 3 10 $endpoints; done
fi
if [ "$what" != control ]; then traffic; fi
