#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <tuple>

#include "commands.hpp"
#include "operator_client.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds follow_interval{500};

/// How far the events of a node have been read. A node that starts again counts its
/// sequence from the beginning under a new incarnation.
struct read_position
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

using positions = std::map<endpoint, read_position>;

std::vector<event_view> read_events(const operator_client& client,
                                    read_position& position)
{
    const auto incarnation = client.view<status_view>("/v1/status").incarnation;
    if (incarnation != position.incarnation)
    {
        position = {incarnation, 0};
    }
    const std::uint64_t read_before = position.sequence;
    std::istringstream lines(
        client.get(fmt::format("/v1/events?since={}", position.sequence)));
    std::vector<event_view> result;
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.empty())
        {
            continue;
        }
        try
        {
            event_view entry = parse_event_line(line);
            if (entry.incarnation == incarnation && entry.sequence > read_before)
            {
                position.sequence = std::max(position.sequence, entry.sequence);
                result.push_back(std::move(entry));
            }
        }
        catch (const codec_error& problem)
        {
            throw unreachable_error(fmt::format("{} sends a malformed event: {}",
                                                to_string(client.address()),
                                                problem.what()));
        }
    }
    return result;
}

auto causal_key(const event_view& entry)
{
    return std::tie(entry.lamport, entry.node, entry.incarnation, entry.sequence);
}

std::string to_clock_text(std::int64_t time_ms)
{
    const std::time_t seconds = time_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:02}:{:02}:{:02}.{:03}", parts.tm_hour, parts.tm_min,
                       parts.tm_sec, time_ms % 1000);
}

std::string to_field_text(const event_view& entry)
{
    const auto document = nlohmann::ordered_json::parse(entry.line);
    std::string result;
    for (const auto& item : document.items())
    {
        const std::string& key = item.key();
        const bool common = key == "time_ms" || key == "node" || key == "incarnation" ||
                            key == "seq" || key == "lamport" || key == "event";
        if (!common)
        {
            result += fmt::format("{}{}={}", result.empty() ? "" : " ", key,
                                  item.value().dump());
        }
    }
    return result;
}

void print_event(const global_options& global, const event_view& entry)
{
    if (global.json)
    {
        fmt::print("{}\n", entry.line);
        return;
    }
    fmt::print("{:<12} {:>9} {:<16} {:>7} {:<24} {}\n", to_clock_text(entry.time_ms),
               entry.lamport, entry.node, entry.sequence, entry.name,
               to_field_text(entry));
}

/// Prints each error of a node once, until it answers again or fails in another way.
class error_printer
{
public:
    void report(const endpoint& address, const std::string& text)
    {
        std::string& last = last_[address];
        if (!text.empty() && text != last)
        {
            fmt::print(stderr, "fescueridge: {}\n", text);
        }
        last = text;
    }

private:
    std::map<endpoint, std::string> last_;
};

/// Prints what is new at all nodes. Throws unreachable_error when none answers.
void print_new_events(const global_options& global, const timeline_options& options,
                      positions& known, error_printer& errors)
{
    const time_point deadline =
        options.follow ? clock::now() + milliseconds(2000) : global.deadline;
    const auto all = ask_all(global.nodes, deadline,
                             [&](const operator_client& client)
                             { return read_events(client, known.at(client.address())); });
    std::vector<event_view> events;
    for (const auto& one : all)
    {
        errors.report(one.address, one.error);
        if (!one.answer)
        {
            continue;
        }
        std::copy_if(one.answer->begin(), one.answer->end(), std::back_inserter(events),
                     [&](const event_view& entry) {
                         return entry.time_ms >= options.since_ms &&
                                entry.name.rfind(options.name, 0) == 0;
                     });
    }
    std::sort(events.begin(), events.end(),
              [](const event_view& a, const event_view& b)
              { return causal_key(a) < causal_key(b); });
    for (const event_view& entry : events)
    {
        print_event(global, entry);
    }
    std::fflush(stdout);
}

} // namespace

int run_timeline(const global_options& global, const timeline_options& options)
{
    positions known;
    for (const endpoint& address : global.nodes)
    {
        known.emplace(address, read_position());
    }
    error_printer errors;
    if (!global.json)
    {
        fmt::print("{:<12} {:>9} {:<16} {:>7} {:<24} {}\n", "time (UTC)", "lamport",
                   "node", "seq", "event", "fields");
    }
    print_new_events(global, options, known, errors);
    while (options.follow)
    {
        std::this_thread::sleep_for(follow_interval);
        try
        {
            print_new_events(global, options, known, errors);
        }
        catch (const unreachable_error& problem)
        {
            // All nodes are away; they may come back.
            errors.report(endpoint(), problem.what());
        }
    }
    return exit_ok;
}

} // namespace fescueridge
