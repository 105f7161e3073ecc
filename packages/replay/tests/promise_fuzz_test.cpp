#include <algorithm>
#include <ostream>
#include <rapidcheck.h>
#include <tamarackhoist/replay/invariant_checker.hpp>
#include <tamarackhoist/replay/simulated_fleet.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using replay::event_kind;

namespace
{

/// Action of one step of a random run. The numbers appear in the printed
/// counterexample of a failure.
enum class step_kind {
    query,
    partial_query,
    order,
    slow,
    down,
    hang,
    lose_replies,
    drain,
    next_version,
    split,
    pause,
    replace,
    partition
};

struct step {
    step_kind kind = step_kind::query;
    std::size_t target = 0;
    /// Duration of a fault.
    int duration_ms = 0;
    /// Time until the next step.
    int gap_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const step& each)
{
    return out << "{kind " << static_cast<int>(each.kind) << ", target "
               << each.target << ", " << each.duration_ms << " ms, then "
               << each.gap_ms << " ms}";
}

constexpr int step_kind_count = static_cast<int>(step_kind::partition) + 1;
constexpr int max_fault_ms = 12'000;
constexpr int max_gap_ms = 300;
constexpr auto settle_time = std::chrono::seconds(40);

replay::fleet_shape small_fleet()
{
    replay::fleet_shape shape;
    shape.nodes = 4;
    shape.domains = 2;
    shape.shards = 4;
    shape.order_upstreams = 2;
    return shape;
}

std::vector<policy::priority_class> classes()
{
    using namespace std::chrono_literals;
    return {{"urgent", 0, 250ms, 0.5, false, true, 3},
            {"browsing", 1, 1s, 0.2, true, true, 3},
            {"billing", 2, 4s, 0.1, true, false, 2}};
}

/// Runs the product's policy in a simulated fleet with random requests and
/// faults, and checks its guarantees from outside.
class simulation_run
{
public:
    simulation_run()
        : fleet_(small_fleet(), classes(), replay::policy_kind::product)
    {
        advance(std::chrono::seconds(1));
    }

    void apply(const step& each)
    {
        switch (each.kind) {
        case step_kind::query:
            start_queries(each, policy::whole_key_space);
            break;
        case step_kind::partial_query:
            start_queries(each, partial_key_space(each.target));
            break;
        case step_kind::order:
            for (int count = 0; count < 5; ++count) {
                fleet_.start_order(2);
            }
            break;
        case step_kind::next_version:
            upstream(each).set_version(++version_ / 4 + 1);
            break;
        case step_kind::slow:
            inject_fault(event_kind::slow, each, upstream_count(), 20);
            break;
        case step_kind::down:
            inject_fault(event_kind::down, each, upstream_count());
            break;
        case step_kind::hang:
            inject_fault(event_kind::hang, each, upstream_count());
            break;
        case step_kind::lose_replies:
            inject_fault(event_kind::lose_replies, each, upstream_count());
            break;
        case step_kind::drain:
            inject_fault(event_kind::drain, each, upstream_count());
            break;
        case step_kind::split:
            inject_fault(event_kind::split, each, fleet_.shape().shards);
            break;
        case step_kind::pause:
            inject_fault(event_kind::pause, each, fleet_.node_count());
            break;
        case step_kind::replace:
            inject_fault(event_kind::replace, each, fleet_.node_count());
            break;
        case step_kind::partition:
            inject_fault(event_kind::partition, each, fleet_.shape().domains);
            break;
        }
        advance(std::chrono::milliseconds(each.gap_ms));
    }

    replay::invariant_checker::violations finish()
    {
        advance(settle_time);
        return fleet_.checker().find_violations();
    }

private:
    static policy::key_range_set partial_key_space(std::size_t target)
    {
        const auto step = replay::simulated_fleet::grid_step(small_fleet());
        const auto first = target % 8 * step;
        policy::key_range_set ranges;
        ranges.add({first, first + 5 * step});
        return ranges;
    }

    [[nodiscard]] std::size_t upstream_count() const
    {
        return fleet_.upstream_descriptions().size();
    }

    replay::fake_upstream& upstream(const step& each)
    {
        const auto target = each.target % upstream_count();
        return fleet_.upstream(fleet_.upstream_descriptions()[target].id);
    }

    void start_queries(const step& each, policy::key_range range)
    {
        start_queries(each, policy::key_range_set(std::span(&range, 1)));
    }

    void start_queries(const step& each, const policy::key_range_set& ranges)
    {
        for (int count = 0; count < 8; ++count) {
            fleet_.start_query(each.target % 3, ranges);
        }
    }

    void inject_fault(event_kind kind, const step& each, std::size_t targets,
                      double factor = 1)
    {
        replay::trace_event event;
        event.kind = kind;
        event.factor = factor;
        event.until = fleet_.scheduler().now() +
                      std::chrono::milliseconds(each.duration_ms);
        const auto target = each.target % targets;
        fleet_.apply_event(event, target, true);
        fleet_.scheduler().at(event.until, [this, event, target] {
            fleet_.apply_event(event, target, false);
        });
    }

    void advance(runtime::duration time)
    {
        fleet_.run_until(fleet_.scheduler().now() + time);
    }

    replay::simulated_fleet fleet_;
    std::uint64_t version_ = 0;
};

rc::Gen<step> generate_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::kind,
                     rc::gen::map(rc::gen::inRange(0, step_kind_count),
                                  [](int kind) {
                                      return static_cast<step_kind>(kind);
                                  })),
        rc::gen::set(&step::target, rc::gen::inRange<std::size_t>(0, 64)),
        rc::gen::set(&step::duration_ms, rc::gen::inRange(1, max_fault_ms)),
        rc::gen::set(&step::gap_ms, rc::gen::inRange(0, max_gap_ms)));
}

void promises_hold_under_random_faults()
{
    const bool holds = rc::check("promises hold", [] {
        const auto steps = *rc::gen::scale(
            4.0, rc::gen::container<std::vector<step>>(generate_step()));
        simulation_run run;
        for (const auto& each : steps) {
            run.apply(each);
        }
        const auto found = run.finish();
        RC_LOG() << "steps " << steps.size();
        RC_ASSERT(found.mixed_versions == 0U);
        RC_ASSERT(found.coverage_wrong == 0U);
        RC_ASSERT(found.foreign_items == 0U);
        RC_ASSERT(found.refused_but_run == 0U);
        RC_ASSERT(found.doubled == 0U);
        RC_ASSERT(found.drain_late_work == 0U);
        RC_ASSERT(found.connections_over_limit == 0U);
    });
    cr_assert(holds);
}

} // namespace

Test(promise_fuzz, promises_hold_under_random_faults)
{
    promises_hold_under_random_faults();
}
