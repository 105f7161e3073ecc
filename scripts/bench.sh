#!/usr/bin/env bash
# Replays every trace and writes build/figures.txt, a line for each stated
# outcome: name value unit baseline bound pass|fail. The file is the same
# after every run, since all of it happens in virtual time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
out=build/figures
mkdir -p "$out"
rm -f "$out"/*
jobs_at_once=$(nproc)
for trace in traces/*.trace; do
    name=$(basename "$trace" .trace)
    while [ "$(jobs -rp | wc -l)" -ge "$jobs_at_once" ]; do wait -n || true; done
    "$build/packages/programs/tamarackhoist" replay "$trace" \
        > "$out/$name.txt" 2>&1 &
done
wait || true
for file in "$out"/*.txt; do
    awk 'NR > 1 && NF == 6 {
        unit = "ratio"
        if ($2 ~ /_ms$/) unit = "ms"
        else if ($2 ~ /seconds/) unit = "s"
        else if ($2 ~ /mixed|wrong|foreign|refused_or|but_run|doubled|late_work|over_limit/)
            unit = "count"
        print $1, $3, unit, $4, $5, $6 }
        NR == 1 && $1 != "NAME" { print "error", FILENAME, $0 }' "$file"
done > build/figures.txt
# Figures of the fleet that do not depend on the machine's speed.
"$build/stand_ins/measure_capacity" > build/capacity.txt
awk 'function line(name, value, unit, bound) {
        print name, value, unit, "-", "<=" bound, value <= bound ? "pass" : "fail" }
    $1 == "edit_by_digests" && $2 == 6 { line("config_by_digests", $3, "s", 5) }
    $1 == "death_known" && $2 == 6 { line("owner_gap", $3, "s", 3) }
    $1 == "gossip_bytes" && $2 == 200 { line("control_bytes", $3, "B/s", 27000) }
    $1 == "owners_per_query" && $2 == 6600 { print "owners_per_query", $3, "nodes", "-", "report", "pass" }' \
    build/capacity.txt >> build/figures.txt
column -t build/figures.txt
! grep -qE ' fail$|^error' build/figures.txt
