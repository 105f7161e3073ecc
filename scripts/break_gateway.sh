#!/usr/bin/env bash
# Puts five faults into copies of the gateway's code and shows which seed of
# the soak notices each one. Usage: scripts/break_gateway.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
soak="$PWD/${1:-build/release}/stand_ins/soak"
copy="build/break"
seeds="1 2 3 4 5 6 7 8"

rm -rf "$copy"
mkdir -p "$copy"
git archive HEAD | tar -x -C "$copy"
cmake -S "$copy" -B "$copy/target" -G Ninja -DCMAKE_BUILD_TYPE=Release \
    -DTAMARACKHOIST_TESTS=OFF > /dev/null
ninja -C "$copy/target" -j3 tamarackhoistd > /dev/null

# Applies a substitution to a file, builds, and runs seeds until one notices.
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
        if ! "$soak" --program="$copy/target/packages/programs/tamarackhoistd" \
            --seed="$seed" --seconds=8 --directory="$copy/soak" \
            > "$copy/out" 2>&1; then
            echo "$name: seed $seed:$(sed -n 2p "$copy/out")"
            break
        fi
    done
    [ -s "$copy/out" ] && ! grep -q " 0 promises" "$copy/out" ||
        echo "$name: not noticed by seeds $seeds"
    cp "$copy/saved" "$file"
}

coordinator=packages/policy/src/forward_coordinator.cpp
try "orders are repeated after a lost answer" "$coordinator" \
    's/if (route_.repeat == repeatability::idempotent) {/if (true) {/'
try "drains are ignored" packages/policy/src/upstream_directory.cpp \
    's/upstream->registration.is_draining || //'
try "merged shards are not told apart" packages/node/src/fan_out_parts.cpp \
    's/!single.is_in || is_bundled_\[shard\]/!single.is_in/'
try "a lost answer is called not executed" "$coordinator" \
    's/return forward_outcome::unknown;/return forward_outcome::not_executed;/'
try "the process ends at once on SIGTERM" packages/node/src/gateway.cpp \
    's/const bool is_done =/const bool is_done = true ||/'
