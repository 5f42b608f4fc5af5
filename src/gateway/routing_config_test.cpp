#include <criterion/criterion.h>
#include <map>

#include "fescueridge/gateway/routing_config.hpp"

using namespace fescueridge;
using namespace fescueridge::gateway;

namespace
{

route make_route(const std::string& name, const std::string& host,
                 const std::string& prefix)
{
    route result;
    result.name = route_name(name);
    result.host = host;
    result.path_prefix = prefix;
    return result;
}

} // namespace

// A body accepted from a client must fit into a link frame, or it could not be forwarded.
Test(client_limits, bodies_fit_into_the_frames_of_links)
{
    client_limits limits;
    limits.sizes = {1'000, 4 * max_body_bytes};
    cr_expect_eq(limits.sizes_for_links().body, max_body_bytes);
    cr_expect_eq(limits.sizes_for_links().header, 1'000U);
    limits.sizes.body = 50;
    cr_expect_eq(limits.sizes_for_links().body, 50U);
}

Test(route_table, finds_the_longest_prefix_of_the_host)
{
    routing_config config;
    config.routes = {make_route("short", "a.example", "/x/"),
                     make_route("long", "a.example", "/x/y/"),
                     make_route("other", "b.example", "/x/y/z/")};
    const route_table table(config);
    cr_expect_str_eq(table.find("a.example", "/x/y/z/1")->name.get().c_str(), "long");
    cr_expect_str_eq(table.find("A.Example:80", "/x/1")->name.get().c_str(), "short");
    cr_expect_null(table.find("a.example", "/x"));
    cr_expect_null(table.find("c.example", "/x/y/"));
}

// The weights must hold over any short sequence of requests, not just on average.
Test(weighted_round_robin, divides_any_hundred_requests_by_weight)
{
    weighted_round_robin round_robin;
    const std::vector<weighted_target> targets{{service_name("a"), 90},
                                               {service_name("b"), 10}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[round_robin.next(targets).get()];
    cr_expect_eq(counts["a"], 90);
    cr_expect_eq(counts["b"], 10);
    const std::vector<weighted_target> changed{{service_name("b"), 1}};
    cr_expect_str_eq(round_robin.next(changed).get().c_str(), "b");
}
