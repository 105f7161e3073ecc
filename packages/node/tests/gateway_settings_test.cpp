#include <string>
#include <tamarackhoist/node/gateway_settings.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;

namespace
{

std::string make_settings(const std::string& seeds, const std::string& callers)
{
    return "[node]\nid = n\nfailure_domain = z\nregion = r\ncores = 0.25\n"
           "memory_mb = 160\n"
           "shutdown_grace = 6s\n[addresses]\ncallers = " +
           callers +
           "\nreadiness = 10.0.0.1:2\npeers = 10.0.0.1:3\n"
           "metrics = 10.0.0.1:4\nstore = 10.0.0.2:5\nseeds = " +
           seeds +
           "\n[fleet]\ncaller_delay = 3ms\nnews_age = 3000ms\n"
           "drain_delay = 2500ms\n"
           "[extra attempts]\nratio = 0.2\nallowance = 52\nwindow = 10s\n";
}

void a_complete_file_is_parsed()
{
    const auto parsed = node::gateway_settings::parse(
        make_settings("10.0.0.1:3,10.0.0.7:3", "10.0.0.1:1"));
    cr_assert(parsed.has_value());
    const auto& read = parsed.value();
    cr_assert_eq(read.name, "n");
    cr_assert_eq(read.seeds.size(), 2U);
    cr_assert(read.shutdown_grace == 6s);
    cr_assert(read.max_configuration_age == 3000ms);
    cr_assert(read.drain_delay == 2500ms);
    cr_assert_float_eq(read.cores, 0.25, 1e-9);
    cr_assert_eq(read.extra_attempt_allowance, 52U);
    cr_assert_eq(read.memory, 160U * 1024 * 1024);
}

/// The template renders an empty value if there are no seeds.
void empty_seeds_are_accepted()
{
    const auto parsed =
        node::gateway_settings::parse(make_settings("", "10.0.0.1:1"));
    cr_assert(parsed.has_value());
    cr_assert(parsed.value().seeds.empty());
}

void every_error_is_reported()
{
    const auto parsed = node::gateway_settings::parse(
        make_settings("nowhere", "10.0.0.1") + "[odd]\n");
    cr_assert(!parsed.has_value());
    std::string all;
    for (const auto& error : parsed.error()) {
        all += error.to_text() + "\n";
    }
    for (const auto* expected : {"\"seeds\"", "\"callers\"", "odd"}) {
        cr_assert(all.find(expected) != std::string::npos, "%s in %s", expected,
                  all.c_str());
    }
}

} // namespace

Test(gateway_settings, complete)
{
    a_complete_file_is_parsed();
}
Test(gateway_settings, no_seeds)
{
    empty_seeds_are_accepted();
}
Test(gateway_settings, errors)
{
    every_error_is_reported();
}
