#!/usr/bin/env bash
# Mutation test of the order of what the store says: applies one fault at a time
# to a scratch copy and prints which property of restored_store_fuzz_test
# detects it, after how many runs and with how many steps in the shrunk case.
# Exits with 1 when a fault is not detected, which means that a check is missing,
# or when its expression does not match. Argument: a scratch copy to use again, so
# that less is built (optional).
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ $# -gt 0 ]]; then
    scratch=$1
    mkdir -p "$scratch"
else
    scratch=$(mktemp -d)
    trap 'rm -rf "$scratch"' EXIT
fi
git ls-files -z | xargs -0 cp --parents --update -t "$scratch"
policy=packages/policy/src
follower=packages/platform/src/news_follower.cpp
test=packages/node/tests
seed=${RC_PARAMS:-"seed=20261204 max_success=2000"}

# name | files | sed expression
breaks=(
    "each answer is of the first era|$follower|s/return response.era.number;/return policy::first_store_era;/"
    "no new list when a watch states a new era|$follower|s/^    if (!position_) {$/    if (!position_) {\n        position_ = {*era_, result.value().store_revision};\n    }\n    if (false) {/"
    "a half-read list outlives its era|$follower|/::begin_era/,/^}/s/^    list\(_position_.reset\|ed_items_.clear\)();//"
    "the list of a new era is merged|$policy/store_copy.cpp|s/store_item> next;/store_item> next = items_;/"
    "newer items of the former era are kept|$policy/store_copy.cpp|s/current.position > listed/current.position.revision() > listed.revision()/"
    "withdrawn upstreams are taken back|$policy/upstream_directory.cpp|s/return is_drained .*;/return false;/"
    "drained upstreams are taken back|$policy/upstream_directory.cpp|s/return is_drained .*;/return departed_.contains(entry);/"
    "departed upstreams are taken back|$policy/upstream_directory.cpp|s/return is_drained .*;/return is_drained;/"
    "the version in force may fall|$test/model_node.hpp|s/if (version < version_)/if (false)/"
)

cd "$scratch"
cmake --preset release > /dev/null
missed=0
for each in "${breaks[@]}"; do
    IFS='|' read -r name paths expression <<< "$each"
    read -r -a files <<< "$paths"
    for file in "${files[@]}"; do
        cp "$file" "$file.good"
        sed -i "$expression" "$file"
        if cmp -s "$file" "$file.good"; then
            echo "$name: the expression matches nothing in $file"
            missed=1
        fi
    done
    ninja -C build/release -j2 restored_store_fuzz_test \
        > build/log 2>&1 || { tail build/log; exit 1; }
    RC_PARAMS="$seed" timeout 300 \
        build/release/packages/node/restored_store_fuzz_test -j1 \
        > build/out 2>&1 || true
    if grep -q 'Falsifiable' build/out; then
        # Each step of the shrunk case is printed as {kind ...}.
        steps=$( (grep -o '{kind [^}]*}' build/out || true) | wc -l)
        echo "| $name | $(grep -m1 -o 'RC_ASSERT(.*' build/out) |" \
            "$(grep -m1 -o 'after [0-9]* tests*' build/out) | $steps |"
    else
        echo "$name: no check detected the fault"
        missed=1
    fi
    # The new modification time makes ninja rebuild the restored file.
    for file in "${files[@]}"; do
        mv "$file.good" "$file"
        touch "$file"
    done
done
exit "$missed"
