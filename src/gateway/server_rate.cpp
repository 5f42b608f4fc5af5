#include "fescueridge/gateway/server_rate.hpp"

#include <utility>

namespace fescueridge::gateway
{
namespace
{

/// Returns whether both records describe the same start. A start time of 0 is unknown.
bool is_same_start(const server_record& a, const server_record& b)
{
    return a.id == b.id && (a.born_ms == b.born_ms || a.born_ms == 0 || b.born_ms == 0);
}

} // namespace

bool server_rate::set(std::optional<call_rate> rate)
{
    const bool changed = rate_ != rate;
    rate_ = rate;
    return changed;
}

bool server_rate::on_answer(const server_notice& notice, time_point sent_at,
                            time_point now)
{
    if (notice.max_rate_unusable)
    {
        ++unusable_;
        return false;
    }
    if (notice.max_rate)
    {
        stated_at_ = now;
        return set(notice.max_rate);
    }
    return sent_at >= stated_at_ && set(std::nullopt);
}

void server_rate::remember(const server_record& server, std::optional<call_rate> rate)
{
    if (rate)
        remembered_ = remembered_rate{server, *rate};
}

bool server_rate::select(const server_record& server, time_point now)
{
    bool changed = false;
    if (!is_same_start(server_, server))
        changed = set(std::nullopt);
    server_ = server;
    if (!remembered_)
        return changed;
    const auto remembered = *std::exchange(remembered_, std::nullopt);
    if (rate_ || !is_same_start(remembered.server, server))
        return changed;
    stated_at_ = now;
    return set(remembered.rate) || changed;
}

} // namespace fescueridge::gateway
