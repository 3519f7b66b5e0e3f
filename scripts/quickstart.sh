#!/usr/bin/env bash
# Builds, starts a small deployment on loopback addresses, sends a streamed
# completion and an order, and stops everything. With --keep, leaves it
# running and prints the addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=false
case "${1:-}" in
--keep) keep=true ;;
"") ;;
*)
    echo "usage: scripts/quickstart.sh [--keep]" >&2
    exit 2
    ;;
esac

scripts/install.sh
scripts/build.sh
bin=${TQ_BUILD_DIR:-build}/bin
. scripts/lib/processes.sh

finish() {
    local code=$?
    if [ $code -ne 0 ]; then
        tail -n 20 "$work"/*.err >&2 || true
    fi
    if [ $code -ne 0 ] || [ $keep = false ]; then
        stop_all
        rm -rf "$work"
    fi
    exit $code
}
trap finish EXIT

# call METHOD TARGET KEY BODY [HEADER]: one request to the first daemon.
call() {
    curl --silent --show-error --fail-with-body --no-buffer --max-time 30 \
        --request "$1" --header "Authorization: Bearer $3" \
        --header "Content-Type: application/json" \
        ${5:+--header "$5"} --data "$4" "http://$entry$2"
}

tqctl() {
    "$bin/tqctl" --address "$operator" --output json "$@"
}

echo "== stand-ins: platform, three engines, one order service"
start platform "$bin/tq-standin" platform
admin=$(address platform admin)
for i in 1 2 3; do
    start "engine$i" "$bin/tq-standin" engine --capacity-bytes 40000000000 \
        --weight-store "$admin"
done
start orders "$bin/tq-standin" service

for i in 1 2 3; do list "e$i" "$(address "engine$i" engine)"; done
list s1 "$(address orders service)"

echo "== three daemons in two availability zones"
zones=(z1 z2 z1)
base=${TQ_QUICKSTART_PORT:-17000}
for i in 1 2 3; do
    write_settings $i 3 "${zones[i - 1]}" "$base"
    list "i$i" "127.0.0.1:$((base + i))"
    start_daemon $i
done
entry=$(address i1 entry)
operator=$(address i1 operator)
wait_ok "a view lease" curl --silent --fail "http://$entry/healthz"

echo "== configuration: two workspaces with keys, models, endpoints"
tqctl workspace put spomincek --rate 1000 --burst 5000
tqctl workspace put sundarban --rate 2000 --burst 8000
spomincek=$(issue_key spomincek-1 spomincek)
sundarban=$(issue_key sundarban-1 sundarban)
tqctl model put verses --version 1 --bytes 16000000000
tqctl model put contracts --version 1 --bytes 16000000000
tqctl model put chat --version 1 --bytes 16000000000
tqctl service put orders
for i in 1 2 3; do
    tqctl endpoint put "e$i" --endpoint-address "$(address "engine$i" engine)" \
        --zone "${zones[i - 1]}" --region r1 --accelerators 1 \
        --capacity-bytes 40000000000 --honours-fencing
done
tqctl endpoint put s1 --endpoint-address "$(address orders service)" \
    --zone z1 --region r1 --service orders

prompt='{"model": "verses", "max_tokens": 8, "stream": true, "messages":
  [{"role": "user", "content": "A verse for a silver wedding."}]}'
wait_ok "the model to be placed" call POST /v1/chat/completions \
    "$spomincek" "$prompt"

echo "== a streamed completion"
call POST /v1/chat/completions "$spomincek" "$prompt"

echo "== an order, sent twice with one idempotency key: it runs once"
for _ in 1 2; do
    call POST /services/orders/send "$sundarban" '{"order": "o-1"}' \
        "Idempotency-Key: o-1"
    echo
done
curl --silent "http://$(address orders service)/admin/orders"

echo "== status"
tqctl status

if [ $keep = true ]; then
    echo "entries:   $(address i1 entry) $(address i2 entry) $(address i3 entry)"
    echo "operators: $(address i1 operator) $(address i2 operator)" \
        "$(address i3 operator)"
    echo "platform:  $(address platform platform)," \
        "admin $admin"
    echo "logs in $work; stop with: kill ${pids[*]}"
else
    stop_all
fi
echo "quickstart: ok"
