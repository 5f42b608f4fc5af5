#include "wide_values.hpp"

#include <algorithm>

#include "fescueridge/base/overloaded.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Applies `change` to each rank in a message.
template <class Change>
void change_ranks(link_message& message, Change change)
{
    std::visit(overloaded{[&](forward_message& m) { change(m.rank); },
                          [&](node_report_message& m)
                          {
                              for (auto& arrivals : m.arrivals)
                                  if (arrivals.rank)
                                      change(*arrivals.rank);
                          },
                          [](auto&)
                          {
                              // Other messages have no ranks.
                          }},
               message);
}

} // namespace

sheet_version state_revision(link_revision revision)
{
    return sheet_version(static_cast<std::uint64_t>(revision));
}

bool reads_wide_values(const hello_message& hello)
{
    return hello.version >= state_revision(link_revision::wide_values);
}

link_message with_compact_values(link_message message, const rank_scale& scale)
{
    constexpr milliseconds longest{3'600'000};
    change_ranks(message, [&](request_rank& rank) { rank = scale.compacted(rank); });
    if (auto* forward = std::get_if<forward_message>(&message))
    {
        forward->time_left = std::min(forward->time_left, longest);
        forward->target_latency = std::min(forward->target_latency, longest);
    }
    return message;
}

link_message with_expanded_values(link_message message, const rank_scale& scale)
{
    change_ranks(message, [&](request_rank& rank) { rank = scale.expanded(rank); });
    return message;
}

} // namespace fescueridge::gateway
