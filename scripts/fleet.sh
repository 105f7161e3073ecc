# Functions that start and stop a small fleet of real processes on loopback:
# the stand-ins and six nodes in the four failure domains of Gwynedd.
# A script that sources this file sets `build` and `run_dir` first.

domains=(arfon eifionydd llyn meirionnydd arfon eifionydd)
node_count=6
platform_port=${platform_port:-7000}
control_port=$((platform_port + 1))
declare -A pids
# A stopped process of an orphaned group would be hung up otherwise.
trap '' HUP

now_ms() { date +%s%3N; }

# caller_port NODE, peer_port NODE, operator_port NODE
caller_port() { echo $((platform_port + 100 + $1)); }
peer_port() { echo $((platform_port + 200 + $1)); }
operator_port() { echo $((platform_port + 300 + $1)); }

node_list() {
    local kind=$1 list="" node
    for node in $(seq 1 "$node_count"); do
        list+="${list:+,}127.0.0.1:$("${kind}_port" "$node")"
    done
    echo "$list"
}

write_settings() {
    local node=$1 seeds
    seeds=$(node_list peer | sed 's/,/, /g')
    cat > "$run_dir/node$node.ini" <<EOF
[node]
id = node$node
failure_domain = ${domains[$((node - 1))]}
region = cymru
threads = 2
balancer_lag = 500ms

[addresses]
callers = 127.0.0.1:$(caller_port "$node")
peers = 127.0.0.1:$(peer_port "$node")
operators = 127.0.0.1:$(operator_port "$node")

[platform]
address = 127.0.0.1:$platform_port
document_values = document

[peers]
seeds = $seeds
expected_nodes = $node_count
EOF
}

write_vms() {
    local node separator=""
    {
        echo '{"vms": ['
        for node in $(seq 1 "$node_count"); do
            echo "$separator{\"name\": \"node$node\", \"role\": \"entry\"," \
                "\"state\": \"live\"," \
                "\"failure_domain\": \"${domains[$((node - 1))]}\"," \
                "\"address\": \"127.0.0.1\", \"port\": $(peer_port "$node")}"
            separator=","
        done
        [ -z "${leaving_upstream:-}" ] ||
            echo ",{\"name\": \"$leaving_upstream\"," \
                "\"role\": \"upstream\", \"state\": \"leaving\"," \
                "\"address\": \"127.0.0.1\", \"port\": 1}"
        echo ']}'
    } > "$run_dir/vms.json.new"
    mv "$run_dir/vms.json.new" "$run_dir/vms.json"
}

# start NAME COMMAND...: starts a process and remembers its id.
start() {
    local name=$1
    shift
    "$@" >> "$run_dir/$name.log" 2>&1 &
    pids[$name]=$!
}

# stop NAME SIGNAL: sends a signal to a process of this script and waits.
stop() {
    [ -n "${pids[$1]:-}" ] || return 0
    kill "-${2:-TERM}" "${pids[$1]}" 2> /dev/null || true
    wait "${pids[$1]}" 2> /dev/null || true
    unset "pids[$1]"
}

stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2> /dev/null || true
        kill -KILL "${pids[$name]}" 2> /dev/null || true
    done
    wait
}

start_stand_ins() {
    cp "$document" "$run_dir/document.ini"
    write_vms
    start platform "$build/stand_ins/stand_in_platform" \
        --listen "127.0.0.1:$platform_port" \
        --document "$run_dir/document.ini" --vms "$run_dir/vms.json"
    start upstreams "$build/stand_ins/stand_in_upstreams" \
        --document "$document" --control "127.0.0.1:$control_port"
}

start_node() {
    write_settings "$1"
    start "node$1" "$build/packages/programs/tamarackhoistd" \
        --config "$run_dir/node$1.ini"
}

operator() { "$build/packages/programs/tamarackhoist" "$@"; }

# Waits until every given operators' port reports readiness and one document.
wait_until_ready() {
    local nodes=$1 try
    for try in $(seq 1 150); do
        operator status --nodes "$nodes" > "$run_dir/status.txt" 2>&1 &&
            return 0
        sleep 0.1
    done
    echo "the fleet did not become ready:" >&2
    cat "$run_dir/status.txt" >&2
    return 1
}

# Waits until all nodes see all members, and prints nothing.
wait_for_members() {
    local nodes=$1 count=$2 try
    for try in $(seq 1 150); do
        operator status --nodes "$nodes" 2> /dev/null |
            awk -v want="$count" '$1 ~ /^node/ && NF == 8 {
                n++; if ($6 != want) bad = 1 }
                END { exit !(n > 0 && !bad) }' && return 0
        sleep 0.1
    done
    return 1
}

# Prints a member of the upstreams' statistics.
upstream_stat() {
    curl -s "http://127.0.0.1:$control_port/stats" |
        sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

control_upstreams() {
    curl -s -X POST --data "$1" "http://127.0.0.1:$control_port/control" \
        > /dev/null
}
