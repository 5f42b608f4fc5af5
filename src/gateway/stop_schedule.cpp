#include "fescueridge/gateway/stop_schedule.hpp"

#include <algorithm>

namespace fescueridge::gateway
{
namespace
{

/// Two failed readiness checks, one per second, and the way of a last request.
constexpr milliseconds reject_clients_after{2'600};

/// Maximum times before the kill, and as a percentage of the grace.
struct margin
{
    milliseconds max;
    int percent;
};

/// Within the last sixth of the grace, so that a server has most of it to answer.
constexpr margin answer_margin{milliseconds{900}, 15};

/// Leaves the replies to a recall time to arrive from nodes in other failure domains.
constexpr margin recall_margin{milliseconds{1'500}, 25};

/// A slow VM needs this time to close its connections.
constexpr margin end_margin{milliseconds{500}, 8};

milliseconds before_kill(milliseconds grace, const margin& wanted)
{
    constexpr int hundred_percent = 100;
    return grace - std::min(wanted.max, grace * wanted.percent / hundred_percent);
}

} // namespace

stop_schedule stop_schedule::for_grace(milliseconds grace)
{
    stop_schedule schedule;
    schedule.recall_waiting = before_kill(grace, recall_margin);
    schedule.answer_all = before_kill(grace, answer_margin);
    schedule.end = before_kill(grace, end_margin);
    schedule.reject_clients = std::min(reject_clients_after, schedule.recall_waiting);
    return schedule;
}

} // namespace fescueridge::gateway
