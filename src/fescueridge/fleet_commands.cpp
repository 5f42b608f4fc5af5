#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "commands.hpp"
#include "operator_client.hpp"
#include "output.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

auto ask_status(const global_options& global)
{
    return ask_all(global.nodes, global.deadline,
                   [](const operator_client& client)
                   { return client.view<status_view>("/v1/status"); });
}

std::vector<status_view> answers(const std::vector<answer_of<status_view>>& all)
{
    std::vector<status_view> result;
    for (const auto& one : all)
    {
        if (one.answer)
        {
            result.push_back(*one.answer);
        }
    }
    return result;
}

void print_domains(const std::vector<domain_view>& domains)
{
    fmt::print("{:<20} {:>6} {:>14}\n", "failure domain", "nodes", "lowest version");
    for (const domain_view& domain : domains)
    {
        const std::string version =
            domain.reachable ? std::to_string(domain.lowest_version) : "unreachable";
        fmt::print("{:<20} {:>6} {:>14}\n", domain.name, domain.nodes, version);
    }
}

void print_node(const endpoint& address, const status_view& view)
{
    fmt::print("node {} ({}): failure domain {}, region {}, sheet version {}, {}\n",
               view.node, to_string(address), view.domain, view.region, view.version,
               view.ready ? "ready" : "not ready");
    const server_status& server = view.server;
    fmt::print("  server: {} {}, slots {}, limit {}, running {}, queued {}\n",
               server.service.empty() ? "-" : server.service, server.state, server.slots,
               server.limit, server.running, server.queued);
    fmt::print("  log: {}, offset {}\n", view.log.reachable ? "reachable" : "unreachable",
               view.log.offset);
}

json to_json_list(const std::vector<answer_of<status_view>>& all)
{
    json result = json::array();
    for (const auto& one : all)
    {
        json entry = {{"address", to_string(one.address)}};
        if (one.answer)
        {
            entry["status"] = *one.answer;
        }
        else
        {
            entry["error"] = one.error;
        }
        result.push_back(std::move(entry));
    }
    return result;
}

/// Takes one node's report of a failure domain into the joined one.
void join(domain_view& joined, const domain_view& report)
{
    joined.name = report.name;
    joined.nodes = std::max(joined.nodes, report.nodes);
    if (!report.reachable)
    {
        return;
    }
    joined.lowest_version = joined.reachable
                                ? std::min(joined.lowest_version, report.lowest_version)
                                : report.lowest_version;
    joined.reachable = true;
}

bool is_in_force(const domain_view& domain, std::uint64_t version)
{
    return domain.reachable && domain.lowest_version >= version;
}

bool is_in_force_everywhere(const std::vector<domain_view>& domains,
                            std::uint64_t version, std::uint32_t expected_domains)
{
    return domains.size() >= expected_domains &&
           std::all_of(domains.begin(), domains.end(),
                       [&](const domain_view& domain)
                       { return is_in_force(domain, version); });
}

void print_wait(const std::vector<domain_view>& domains, std::uint64_t version,
                std::uint32_t expected_domains)
{
    for (const domain_view& domain : domains)
    {
        if (is_in_force(domain, version))
        {
            fmt::print("{}: in force on {} node{}\n", domain.name, domain.nodes,
                       domain.nodes == 1 ? "" : "s");
        }
        else if (domain.reachable)
        {
            fmt::print("{}: not in force, lowest version {}\n", domain.name,
                       domain.lowest_version);
        }
        else
        {
            fmt::print("{}: not in force, unreachable\n", domain.name);
        }
    }
    if (domains.size() < expected_domains)
    {
        fmt::print("{} of {} failure domains never seen\n",
                   expected_domains - domains.size(), expected_domains);
    }
}

} // namespace

std::vector<domain_view> join_domains(const std::vector<status_view>& views)
{
    std::map<std::string, domain_view> own;
    std::map<std::string, domain_view> others;
    for (const status_view& view : views)
    {
        join(own[view.domain], domain_view{view.domain, 1, view.version, true});
        for (const domain_view& domain : view.domains)
        {
            join((domain.name == view.domain ? own : others)[domain.name], domain);
        }
    }
    own.merge(others);
    std::vector<domain_view> result;
    result.reserve(own.size());
    for (const auto& entry : own)
    {
        result.push_back(entry.second);
    }
    return result;
}

bool wait_in_force(const global_options& global, std::uint64_t version,
                   std::uint32_t expected_domains, std::vector<domain_view>& domains)
{
    bool everywhere = false;
    bool more = true;
    while (more)
    {
        try
        {
            domains = join_domains(answers(ask_status(global)));
        }
        catch (const unreachable_error&)
        {
            // The last report stands; the nodes may answer again before the deadline.
            more = clock::now() < global.deadline;
        }
        everywhere = is_in_force_everywhere(domains, version, expected_domains);
        more = !everywhere && clock::now() + poll_interval < global.deadline;
        if (more)
        {
            std::this_thread::sleep_for(poll_interval);
        }
    }
    if (!global.json)
    {
        print_wait(domains, version, expected_domains);
    }
    return everywhere;
}

int run_status(const global_options& global)
{
    const auto all = ask_status(global);
    const auto domains = join_domains(answers(all));
    if (global.json)
    {
        const json document = {{"nodes", to_json_list(all)}, {"domains", domains}};
        fmt::print("{}\n", to_text(document));
        return exit_ok;
    }
    for (const auto& one : all)
    {
        if (one.answer)
        {
            print_node(one.address, *one.answer);
        }
        else
        {
            fmt::print(stderr, "fescueridge: {}\n", one.error);
        }
    }
    print_domains(domains);
    return exit_ok;
}

int run_members(const global_options& global)
{
    const auto view = ask_first(global.nodes, global.deadline,
                                [](const operator_client& client)
                                { return client.view<members_view>("/v1/members"); });
    if (global.json)
    {
        fmt::print("{}\n", to_text(json(view)));
        return exit_ok;
    }
    fmt::print("{:<20} {:<12} {:<12} {:<24} {:<9} {:<9} {:>6} {:>8}\n", "node", "domain",
               "region", "service", "server", "liveness", "slots", "version");
    for (const member_status& member : view.members)
    {
        fmt::print("{:<20} {:<12} {:<12} {:<24} {:<9} {:<9} {:>6} {:>8}\n", member.node,
                   member.domain, member.region, member.service, member.state,
                   member.liveness, member.slots, member.version);
    }
    return exit_ok;
}

int run_pressure(const global_options& global)
{
    const auto view = ask_first(global.nodes, global.deadline,
                                [](const operator_client& client)
                                { return client.view<pressure_view>("/v1/pressure"); });
    if (global.json)
    {
        fmt::print("{}\n", to_text(json(view)));
        return exit_ok;
    }
    fmt::print("{:<24} {:>12} {:>12} {:>12} {:>8}\n", "service", "cut priority",
               "cut class", "cut fraction", "age ms");
    for (const service_pressure& service : view.services)
    {
        fmt::print("{:<24} {:>12} {:>12} {:>12} {:>8}\n", service.service,
                   service.cut_priority, service.cut_resends ? "resend" : "new",
                   service.cut_fraction, service.age_ms);
    }
    return exit_ok;
}

int run_drain(const global_options& global)
{
    if (global.nodes.size() != 1)
    {
        throw usage_error("drain needs exactly one --node: the one beside the server");
    }
    const operator_client client(global.nodes.front(), global.deadline);
    const auto result = client.post_view<drain_result>("/v1/drain", "{}");
    if (global.json)
    {
        fmt::print("{}\n", to_text(json(result)));
    }
    else
    {
        fmt::print("server {}, {} calls in flight\n", result.state, result.in_flight);
    }
    return exit_ok;
}

} // namespace fescueridge
