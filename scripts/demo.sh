#!/usr/bin/env bash
# The main job on real processes: six nodes in four failure domains, stand-in
# upstreams and platform, callers in three classes, orders, and an operator's
# edit. Exits 1 when the outcome falls short.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
document=examples/gwynedd.ini
run_dir=.demo
rm -rf "$run_dir"
mkdir -p "$run_dir"
source scripts/fleet.sh
trap stop_all EXIT

echo "== starting 6 nodes, $(grep -c '^\[upstream' "$document") upstreams"
start_stand_ins
for node in $(seq 1 "$node_count"); do start_node "$node"; done
nodes=$(node_list operator)
wait_until_ready "$nodes"
wait_for_members "$nodes" "$node_count"
operator status --nodes "$nodes" | sed '/^$/,$d'

echo "== callers, 6 s"
before=$(upstream_stat requests)
work="bench-app/bench/60,club-portal/portal/30,billing-run/bench/10"
work+=",billing-run/billing/20/order"
"$build/stand_ins/stand_in_callers" --nodes "$(node_list caller)" \
    --work "$work" --seconds 6 | tee "$run_dir/table.txt"
after=$(upstream_stat requests)
needed=$(awk '$1 == "bench-app" { n += $2 * 20 }
    $1 == "club-portal" { n += $2 * 30 }
    $1 == "billing-run" && $2 != "(orders)" { n += $2 * 20 }
    $2 == "(orders)" { n += $3 } END { print n }' "$run_dir/table.txt")
echo "upstream requests: $((after - before)), needed: $needed, extra:" \
    "$(awk -v a="$((after - before))" -v b="$needed" \
        'BEGIN { printf "%.2f%%", 100 * (a - b) / b }')"
echo "orders run: $(upstream_stat orders), doubled: $(upstream_stat doubled)"

echo "== an operator's edit"
sed 's/^deadline = 1s/deadline = 900ms/' "$document" > "$run_dir/edited.ini"
operator check "$run_dir/edited.ini" --current "$document"
edited_at=$(now_ms)
mv "$run_dir/edited.ini" "$run_dir/document.ini"
in_force=0
for _ in $(seq 1 100); do
    operator audit "class browsing" --nodes "$nodes" > "$run_dir/audit.txt"
    in_force=$(awk '$3 == "section_in_force" && / 1 +2 *$/ { print $2 }' \
        "$run_dir/audit.txt" | sort -u | wc -l)
    [ "$in_force" -eq "$node_count" ] && break
    sleep 0.05
done
last=$(awk '/ 1 +2 *$/ { if ($1 > m) m = $1 } END { printf "%.0f", m }' \
    "$run_dir/audit.txt")
echo "edit in force on $in_force of $node_count nodes after" \
    "$(awk -v a="$edited_at" -v b="$last" \
        'BEGIN { printf "%.2f s", (b - a) / 1000 }')"

echo "== graceful shutdown"
for node in $(seq 1 "$node_count"); do stop "node$node" TERM; done
[ "$in_force" -eq "$node_count" ]
awk '/^[a-z]/ { s = ($2 == "(orders)") ? 1 : 0
    if ($(4 + s) != "1.0000" || $(8 + s) != 0 || $(10 + s) != 0) bad = 1 }
    END { exit bad }' "$run_dir/table.txt"
[ "$(upstream_stat doubled)" -eq 0 ]
echo "demo: good"
