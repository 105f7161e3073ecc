#!/usr/bin/env bash
# Mutation test of the policy: applies one fault at a time to a scratch copy
# and prints which check detects it. Exits with 1 when a fault is not detected,
# which means that a check is missing, or when its expression does not match.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
policy=packages/policy/src
seed=${RC_PARAMS:-"seed=20261204 max_success=2000 max_size=60"}

# name | file | sed expression
breaks=(
    "hedge a non-idempotent request|$policy/order_coordinator.cpp|s/^    actions_.send(request);/    actions_.send(request); request.id = context_.next_request_id(); actions_.send(request);/"
    "retry an order after a byte left|$policy/order_coordinator.cpp|s/report(order_status::unknown, \"the reply was lost\", {});/send_next(now);/"
    "skip the version check|$policy/query_coordinator.cpp|s/if (reply.version != version_) {/if (false) {/"
    "count the whole range of a split shard|$policy/query_coordinator.cpp|s/reply.covered.intersection(part.range).difference(answered_);/key_range_set(std::span(\&part.range, 1));/"
    "take an older revision|packages/document/src/document_state.cpp|s/return left.revision > right.revision;/return left.revision < right.revision;/"
    "send after a pause without a fresh look|$policy/pause_guard.cpp|s/^    const auto resumed = resumed_at_.load();/    const std::int64_t resumed = 0;/"
    "say not run after a write|$policy/upstream_owner.cpp|s/reply.outcome = sub_outcome::failed;/reply.outcome = sub_outcome::not_run;/"
    "run a refused ticket again|$policy/order_ledger.cpp|s/record.state = entry_state::settled;/record.state = outcome.status == order_status::not_run ? entry_state::issued : entry_state::settled;/"
)

cd "$scratch"
cmake --preset release > /dev/null
missed=0
for each in "${breaks[@]}"; do
    IFS='|' read -r name file expression <<< "$each"
    cp "$file" "$file.good"
    sed -i "$expression" "$file"
    if cmp -s "$file" "$file.good"; then
        echo "$name: the expression matches nothing in $file"
        missed=1
        continue
    fi
    ninja -C build/release promise_fuzz_test document_test \
        > build/log 2>&1 || { tail build/log; exit 1; }
    for check in replay/promise_fuzz_test document/document_test; do
        RC_PARAMS="$seed" timeout 300 \
            "build/release/packages/$check" -j1 > build/out 2>&1 || true
        grep -q 'Falsifiable' build/out && break
    done
    if grep -q 'Falsifiable' build/out; then
        # Each step of the shrunk case is printed as {kind ...}.
        steps=$( (grep -o '{kind [^}]*}' build/out || true) | wc -l)
        echo "| $name | $(grep -m1 -o 'RC_ASSERT(.*' build/out) |" \
            "$(grep -m1 -o 'after [0-9]* tests' build/out) | $steps |"
    else
        echo "$name: no check detected the fault"
        missed=1
    fi
    # The new modification time makes ninja rebuild the restored file.
    mv "$file.good" "$file"
    touch "$file"
done
exit "$missed"
