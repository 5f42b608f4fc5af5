#include "fescueridge/state/claim_client.hpp"

namespace fescueridge
{

namespace
{

// Timeout of the last attempt to append release and done entries.
constexpr milliseconds final_append_timeout{300};

} // namespace

void claim_client::stop()
{
    std::vector<callback> refused_callbacks;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_)
        {
            return;
        }
        stopping_ = true;
        release_undispatched_claims(refused_callbacks);
        writer_wake_.notify_all();
        timer_wake_.notify_all();
    }
    for (const callback& on_decision : refused_callbacks)
    {
        on_decision(claim_unavailable{});
    }
    writer_.join();
    timer_.join();
    follower_->stop();
    append_remaining_entries();
}

/// Releases the claims of all calls that were not dispatched, and collects the callbacks
/// of those not decided.
void claim_client::release_undispatched_claims(std::vector<callback>& refused_callbacks)
{
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        const auto found = it++;
        const call_stage stage = found->second.stage;
        if (stage == call_stage::queued || stage == call_stage::sent)
        {
            refused_callbacks.push_back(std::move(found->second.on_decision));
        }
        if (stage != call_stage::dispatched)
        {
            release_claim(found);
        }
    }
}

void claim_client::append_remaining_entries()
{
    claims_batch remaining;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        remaining.entries.insert(remaining.entries.end(), release_entries_.begin(),
                                 release_entries_.end());
        remaining.entries.insert(remaining.entries.end(), done_entries_.begin(),
                                 done_entries_.end());
    }
    if (remaining.entries.empty())
    {
        return;
    }
    try
    {
        log_.append(stream_, encode_claims_record(remaining), final_append_timeout);
    }
    catch (const error& problem)
    {
        report_fault("claims_log_fault", problem.what());
    }
}

} // namespace fescueridge
