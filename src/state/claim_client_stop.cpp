#include "fescueridge/state/claim_client.hpp"

namespace fescueridge
{

namespace
{

// Timeout of the last attempt to append release and done entries.
constexpr milliseconds stop_timeout{300};

} // namespace

void claim_client::stop()
{
    std::vector<callback> refused;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_)
        {
            return;
        }
        stopping_ = true;
        give_up_all(refused);
        writer_wake_.notify_all();
        timer_wake_.notify_all();
    }
    for (const callback& done : refused)
    {
        done(claim_unavailable{});
    }
    writer_.join();
    timer_.join();
    follower_->stop();
    append_last();
}

/// Releases the claims of all calls that were not dispatched, and collects the callbacks
/// of those not decided.
void claim_client::give_up_all(std::vector<callback>& refused)
{
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        const auto found = it++;
        const stage at = found->second.at;
        if (at == stage::queued || at == stage::sent)
        {
            refused.push_back(std::move(found->second.done));
        }
        if (at != stage::dispatched)
        {
            give_up(found);
        }
    }
}

void claim_client::append_last()
{
    claims_batch last;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        last.entries.insert(last.entries.end(), voids_.begin(), voids_.end());
        last.entries.insert(last.entries.end(), dones_.begin(), dones_.end());
    }
    if (last.entries.empty())
    {
        return;
    }
    try
    {
        log_.append(stream_, encode_claims_record(last), stop_timeout);
    }
    catch (const error& problem)
    {
        report("claims_log_fault", problem.what());
    }
}

} // namespace fescueridge
