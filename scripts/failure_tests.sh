#!/usr/bin/env bash
# Failure tests on real processes. Each scenario injects a fault under load
# and counts what must not happen; nothing is timed against a bound.
# usage: failure_tests.sh BUILD_DIR [SCENARIO...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
scenarios=("$@")
[ "${#scenarios[@]}" -gt 0 ] ||
    scenarios=(owner_killed node_paused node_replaced half_restarted
        platform_down edit_in_rolling_restart stale_service bad_edit
        upstream_drained graceful_stop garbage)
document=examples/gwynedd.ini
passed=0
failed=0

begin() {
    run_dir=$(mktemp -d)
    start_stand_ins
    for node in $(seq 1 "$node_count"); do start_node "$node"; done
    nodes=$(node_list operator)
    wait_until_ready "$nodes"
    wait_for_members "$nodes" "$node_count"
}

end() {
    stop_all 2> /dev/null
    pids=()
    rm -rf "$run_dir"
}

# Runs callers in the background for the given seconds.
start_callers() {
    local work="bench-app/bench/40,club-portal/portal/20"
    work+=",billing-run/billing/40/order"
    start callers "$build/stand_ins/stand_in_callers" \
        --nodes "${2:-$(node_list caller)}" --work "$work" --seconds "$1" \
        --json
}

finish_callers() {
    wait "${pids[callers]}" || callers_failed=1
    unset "pids[callers]"
    answers=$(grep '^\[' "$run_dir/callers.log" | tail -1)
}

# expect NAME ACTUAL OPERATOR WANTED
expect() {
    if [ "$2" "$3" "$4" ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED $scenario: $1: $2, expected $3 $4"
        [ -z "${answers:-}" ] || echo "  $answers"
    fi
}

# Sums a member of the callers' JSON over all streams.
total() { grep -o "\"$1\":[0-9]*" <<< "$answers" | cut -d: -f2 | paste -sd+ | bc; }

expect_promises() {
    expect "orders doubled" "$(upstream_stat doubled)" -eq 0
    expect "answers that contradict their coverage or version" \
        "$(total wrong)" -eq 0
    # Every order that callers were told ran did run, and no refused one did.
    local ran unknown
    ran=$(grep -o '(orders)","sent":[0-9]*,"complete":[0-9]*' <<< "$answers" |
        sed 's/.*://')
    unknown=$(total unknown)
    expect "orders run but refused" \
        "$(upstream_stat orders)" -le "$((ran + unknown))"
    expect "orders told as run that did not" \
        "$(upstream_stat orders)" -ge "$ran"
    expect "complete answers" "$(total complete)" -gt 0
}

document_hashes() {
    operator status --nodes "$1" --json 2> /dev/null |
        grep -o '"document_hash":[0-9]*' | sort -u | wc -l
}

# Waits until nodes hold one document of at least this revision.
wait_for_revision() {
    local list=$1 revision=$2 try lowest
    for try in $(seq 1 200); do
        lowest=$(operator status --nodes "$list" --json 2> /dev/null |
            grep -o '"document_revision":[0-9]*' | cut -d: -f2 | sort -n |
            head -1)
        if [ "${lowest:-0}" -ge "$revision" ] &&
            [ "$(document_hashes "$list")" -eq 1 ]; then
            return 0
        fi
        sleep 0.1
    done
    return 1
}

edit() {
    sed "s/^deadline = 1s/deadline = $1/" "$document" > "$run_dir/new.ini"
    mv "$run_dir/new.ini" "$run_dir/document.ini"
}

owner_killed() {
    start_callers 6
    sleep 2
    stop node3 KILL
    finish_callers
    expect_promises
}

node_paused() {
    start_callers 14
    sleep 1
    kill -STOP "${pids[node2]}"
    sleep 10
    kill -CONT "${pids[node2]}"
    finish_callers
    expect_promises
    wait_for_members "$nodes" "$node_count" || failed=$((failed + 1))
}

node_replaced() {
    start_callers 8
    sleep 1
    stop node1 KILL
    start_node 1
    sleep 2
    stop node5 KILL
    peer_port() { echo $((platform_port + 200 + $1 + ($1 == 5 ? 50 : 0))); }
    start_node 5
    finish_callers
    expect_promises
    wait_for_members "$nodes" "$node_count" || failed=$((failed + 1))
    expect "documents" "$(document_hashes "$nodes")" -eq 1
    peer_port() { echo $((platform_port + 200 + $1)); }
}

half_restarted() {
    start_callers 6
    sleep 1
    for node in 1 2 3; do stop "node$node" KILL; done
    for node in 1 2 3; do start_node "$node"; done
    finish_callers
    expect_promises
    wait_for_members "$nodes" "$node_count" || failed=$((failed + 1))
    expect "documents" "$(document_hashes "$nodes")" -eq 1
}

platform_down() {
    stop platform KILL
    start_callers 5
    sleep 1
    stop node4 KILL
    start_node 4
    finish_callers
    expect_promises
    # The new node has the document from its peers.
    wait_until_ready "$nodes" || failed=$((failed + 1))
    expect "documents" "$(document_hashes "$nodes")" -eq 1
}

edit_in_rolling_restart() {
    start_callers 10
    for node in $(seq 1 "$node_count"); do
        stop "node$node" TERM
        start_node "$node"
        [ "$node" -ne 3 ] || edit 900ms
        sleep 0.5
    done
    finish_callers
    expect_promises
    wait_for_revision "$nodes" 2 || failed=$((failed + 1))
    expect "documents" "$(document_hashes "$nodes")" -eq 1
}

stale_service() {
    edit 900ms
    wait_for_revision "$nodes" 2 || failed=$((failed + 1))
    # A replica of the service that went back: it starts again at revision 1
    # with the old text.
    stop platform KILL
    cp "$document" "$run_dir/document.ini"
    start platform "$build/stand_ins/stand_in_platform" \
        --listen "127.0.0.1:$platform_port" \
        --document "$run_dir/document.ini" --vms "$run_dir/vms.json"
    stop node6 KILL
    start_node 6
    sleep 3
    wait_for_revision "$nodes" 2 || failed=$((failed + 1))
    local mode
    for mode in truncated oversized slow down; do
        curl -s -X POST --data "$mode" \
            "http://127.0.0.1:$platform_port/control/mode" > /dev/null
        sleep 0.5
    done
    answers=
    expect "documents after a stale service" "$(document_hashes "$nodes")" \
        -eq 1
    wait_for_revision "$nodes" 2 || failed=$((failed + 1))
}

bad_edit() {
    sed 's/^deadline = 1s/deadline = soon/; s/^deadline = 4s/deadline = 3s/' \
        "$document" > "$run_dir/new.ini"
    mv "$run_dir/new.ini" "$run_dir/document.ini"
    wait_for_revision "$nodes" 2 || failed=$((failed + 1))
    answers=
    local status=0
    operator status --nodes "$nodes" > "$run_dir/status.txt" || status=$?
    expect "exit code of status with a refused section" "$status" -eq 1
    operator audit "class browsing" --nodes "$nodes" > "$run_dir/audit.txt"
    expect "nodes that say why" \
        "$(grep -c 'section_refused.*not a number with the unit' \
            "$run_dir/audit.txt")" -ge 1
    operator audit "class billing" --nodes "$nodes" > "$run_dir/audit.txt"
    expect "nodes with the good section in force" \
        "$(grep -cE 'section_in_force.* 1 +2 *$' "$run_dir/audit.txt")" \
        -eq "$node_count"
}

upstream_drained() {
    start_callers 7
    sleep 1
    control_upstreams '{"upstream": "bench-03-a", "draining": true}'
    leaving_upstream=bench-04-a
    write_vms
    unset leaving_upstream
    sleep 2
    local before after
    before=$(upstream_stat while_draining)
    finish_callers
    after=$(upstream_stat while_draining)
    expect_promises
    expect "requests to a draining upstream after 2 s" \
        "$((after - before))" -eq 0
    operator audit bench-04-a --nodes "$nodes" > "$run_dir/audit.txt"
    expect "nodes that saw the listed drain" \
        "$(grep -c upstream_draining "$run_dir/audit.txt")" -ge 1
}

graceful_stop() {
    # The callers know only nodes that stay; the leaving one serves as owner.
    start_callers 6 "$(node_list caller | cut -d, -f1,2,4-6)"
    sleep 2
    stop node3 TERM
    finish_callers
    expect_promises
    expect "requests cut off" "$(total failed)" -eq 0
    expect "requests refused" "$(total not_run)" -eq 0
    expect "outcomes unknown" "$(total unknown)" -eq 0
}

garbage() {
    local port
    for port in "$(caller_port 1)" "$(peer_port 1)" "$(operator_port 1)"; do
        head -c 100000 /dev/urandom |
            timeout 2 bash -c "cat > /dev/tcp/127.0.0.1/$port" \
                2> /dev/null || true
        printf 'POST /v1/query HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n' |
            timeout 2 bash -c "cat > /dev/tcp/127.0.0.1/$port" \
                2> /dev/null || true
        head -c 60000 /dev/zero | tr '\0' 'x' |
            timeout 2 bash -c "(printf 'GET /' ; cat) > /dev/tcp/127.0.0.1/$port" \
                2> /dev/null || true
        head -c 1400 /dev/urandom |
            timeout 2 bash -c "cat > /dev/udp/127.0.0.1/$port" \
                2> /dev/null || true
    done
    start_callers 2
    finish_callers
    expect_promises
    expect "requests failed after garbage" "$(total failed)" -eq 0
}

platform_port=17000
run_dir=/nonexistent
source scripts/fleet.sh
trap 'stop_all 2> /dev/null; rm -rf "$run_dir"' EXIT
for scenario in "${scenarios[@]}"; do
    before=$failed
    answers=
    begin
    "$scenario"
    end
    echo "$scenario: $([ "$failed" -eq "$before" ] && echo good || echo BAD)"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
