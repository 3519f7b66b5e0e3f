# Starts and stops the processes of a small deployment on loopback addresses.
# Sourced by other scripts, which set `bin` to the folder of the programs.

work=$(mktemp -d)
pids=()

# Ends the processes that this script started, by their ids.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}

# start LABEL PROGRAM ARGUMENT...: output goes to LABEL.out and LABEL.err.
start() {
    local label=$1
    shift
    "$@" >"$work/$label.out" 2>"$work/$label.err" </dev/null &
    pids+=($!)
    last_pid=$!
}

# address LABEL NAME: waits for "listening NAME ADDRESS" and prints ADDRESS.
address() {
    local found=
    for _ in $(seq 150); do
        found=$(awk -v name="$2" '$1 == "listening" && $2 == name {print $3}' \
            "$work/$1.out")
        if [ -n "$found" ]; then
            echo "$found"
            return
        fi
        sleep 0.1
    done
    echo "$1 printed no address \"$2\"" >&2
    return 1
}

# wait_ok WHAT COMMAND...: repeats the command until it succeeds.
wait_ok() {
    local what=$1
    shift
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return; fi
        sleep 0.3
    done
    echo "gave up waiting for $what" >&2
    return 1
}

# list ID ADDRESS: puts an instance or endpoint on the platform's list.
list() {
    curl --silent --show-error --fail --max-time 5 --output /dev/null \
        --data "{\"id\": \"$1\", \"address\": \"$2\"}" \
        "http://$(address platform admin)/admin/instances"
}

# write_settings I COUNT ZONE BASE: settings of daemon I of COUNT; its ports
# are BASE+I for callers, BASE+100+I for operators and BASE+200+I for peers.
write_settings() {
    local i=$1 count=$2 zone=$3 base=$4 peers= j
    for j in $(seq "$count"); do
        if [ "$j" != "$i" ]; then
            peers+="\"127.0.0.1:$((base + 200 + j))\", "
        fi
    done
    cat >"$work/i$i.yaml" <<YAML
instance: i$i
availability_zone: $zone
region: r1
listen:
  entry: "127.0.0.1:$((base + i))"
  operator: "127.0.0.1:$((base + 100 + i))"
  peer: "127.0.0.1:$((base + 200 + i))"
platform: {address: "$(address platform platform)"}
peers: [${peers%, }]
traffic_threads: 2
log: {level: info}
YAML
}

# start_daemon I: with the settings written before.
start_daemon() {
    start "i$1" "$bin/tarragonquayd" --settings "$work/i$1.yaml"
}

# issue_key ID WORKSPACE: prints the secret of a new key; `tqctl` is a
# function of the calling script.
issue_key() {
    tqctl key issue "$1" --workspace "$2" |
        sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p'
}
