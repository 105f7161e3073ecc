#!/usr/bin/env bash
# Introduces five faults into a copy of the gateway's source, one at a time, and
# prints the seeds of the soak that detect each one.
# Usage: scripts/break_gateway.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
soak="$PWD/${1:-build/release}/platform/soak/soak"
copy="build/break"
seeds=$(seq 101 108)

mkdir -p "$copy"
git archive HEAD | tar -x -C "$copy"
cmake -S "$copy" -B "$copy/target" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DTAMARACKHOIST_TESTS=OFF > /dev/null
ninja -C "$copy/target" -j3 tamarackhoistd > /dev/null

run_seed() {
    "$soak" --program="$copy/target/packages/programs/tamarackhoistd" \
        --seed="$1" --seconds=8 --directory="$copy/soak" \
        > "$copy/out-$1" 2>&1 || true
}

# Applies a substitution to a file, builds, and runs the seeds.
try() {
    local name="$1" file="$copy/$2" change="$3" seed
    cp "$file" "$copy/saved"
    sed -i "$change" "$file"
    if cmp -s "$file" "$copy/saved"; then
        echo "$name: the change did not apply"
        return
    fi
    ninja -C "$copy/target" -j3 tamarackhoistd > /dev/null
    for seed in $seeds; do
        run_seed "$seed" &
    done
    wait
    echo "$name:"
    for seed in $seeds; do
        grep -q " 0 promises broken" "$copy/out-$seed" ||
            echo "  seed $seed:$(sed -n 2p "$copy/out-$seed")"
    done
    cp "$copy/saved" "$file"
}

coordinator=packages/policy/src/forward_coordinator.cpp
try "orders are retried after a failure or a lost answer" "$coordinator" \
    's/if (route_.repeat == repeatability::idempotent) {/if (true) {/'
try "draining is ignored" packages/policy/src/upstream_directory.cpp \
    's/upstream->registration.is_draining ||//'
try "shards answered twice are counted twice" \
    packages/node/src/fan_out_parts.cpp \
    's/if (!single.has_answer || is_merged_\[shard\])/if (!single.has_answer)/'
try "a lost answer is reported as not executed" "$coordinator" \
    's/return forward_outcome::unknown;/return forward_outcome::not_executed;/'
try "the process exits at once on SIGTERM" packages/node/src/gateway.cpp \
    's/const bool is_done =/const bool is_done = true ||/'
