#include "fescueridge/state/claim_client.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace fescueridge
{

namespace
{

// Pause after a failed append. It is shorter than the decision timeout so that a waiting
// claim is appended at least once.
constexpr milliseconds append_retry_pause{200};

// Longest wait of an idle thread. New work notifies the thread earlier.
constexpr milliseconds idle_wait{1'000};

follow_options with_stream(follow_options options, const std::string& stream)
{
    options.stream = stream;
    return options;
}

} // namespace

claim_client::claim_client(log_service& log, claim_client_options options,
                           fault_handler on_fault)
    : log_(log), options_(std::move(options)), stream_(claims_stream(options_.service)),
      on_fault_(std::move(on_fault)), random_(random_seed()),
      remember_time_(options_.remember_time)
{
    follower_.emplace(log_, with_stream(options_.follow, stream_),
                      follow_handlers{[this](const log_page& page) { on_page(page); },
                                      [this](log_offset oldest) { on_truncated(oldest); },
                                      [this](const error& problem)
                                      {
                                          on_read_fault(problem);
                                      }});
    writer_ = std::thread([this] { run_writer(); });
    timer_ = std::thread([this] { run_timer(); });
}

claim_client::~claim_client()
{
    stop();
}

void claim_client::acquire(const idempotency_key& key, const call_id& call,
                           milliseconds time_left, callback on_decision)
{
    const time_point now = clock::now();
    claim_result refusal = claim_unavailable{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool table_unknown = state_.table().unknown_until_ms() > 0;
        const std::optional<key_holder> holder = state_.complete() && caught_up_
                                                     ? state_.table().find(hash_of(key))
                                                     : std::nullopt;
        if (holder)
        {
            refusal = claim_key_in_use{holder->done()};
        }
        else if (!stopping_ && !table_unknown && time_left > milliseconds(0))
        {
            pending_call pending;
            pending.key = hash_of(key);
            pending.decide_by = now + std::min(time_left, options_.decision_timeout);
            pending.dispatch_by = now + time_left;
            pending.on_decision = std::move(on_decision);
            calls_[call] = std::move(pending);
            queued_calls_.push_back(call);
            writer_wake_.notify_all();
            timer_wake_.notify_all();
            return;
        }
    }
    on_decision(refusal);
}

// spec/claims.pml, label dispatch. The stage is checked and changed under one lock of the
// mutex that abandon() and the timer thread also lock.
bool claim_client::confirm_dispatch(const call_id& call, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.stage == call_stage::dispatched)
    {
        return false;
    }
    if (found->second.stage != call_stage::granted || now >= found->second.dispatch_by)
    {
        release_claim(found);
        return false;
    }
    found->second.stage = call_stage::dispatched;
    return true;
}

void claim_client::finish(const call_id& call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.stage != call_stage::dispatched)
    {
        return;
    }
    done_entries_.push_back({found->second.key, call});
    calls_.erase(found);
    if (!done_entries_due_)
    {
        done_entries_due_ = clock::now() + options_.max_done_delay;
        writer_wake_.notify_all();
    }
}

bool claim_client::abandon(const call_id& call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.stage == call_stage::dispatched)
    {
        return false;
    }
    release_claim(found);
    return true;
}

// spec/claims.pml, label release: allowed even after confirm_dispatch().
void claim_client::release(const call_id& call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found != calls_.end())
    {
        release_claim(found);
    }
}

/// Removes a call so that it can no longer be dispatched, and queues a release entry if
/// its claim may be in the log. spec/claims.pml, label give_up.
void claim_client::release_claim(call_map::iterator found)
{
    if (found->second.stage != call_stage::queued)
    {
        release_entries_.push_back({found->second.key, found->first});
        writer_wake_.notify_all();
    }
    calls_.erase(found);
}

void claim_client::set_remember_time(milliseconds remember_time)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    remember_time_ = remember_time;
}

bool claim_client::ready() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return can_decide();
}

/// spec/claims.pml, label catch_up: a claim requires a table that is complete and known.
bool claim_client::can_decide() const
{
    return caught_up_ && state_.complete() && state_.table().unknown_until_ms() == 0;
}

void claim_client::run_writer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        const time_point now = clock::now();
        const bool can_claim = !queued_calls_.empty() && can_decide();
        const bool done_entries_due = done_entries_due_ && *done_entries_due_ <= now;
        if (!can_claim && release_entries_.empty() && !done_entries_due)
        {
            writer_wake_.wait_until(lock, done_entries_due_.value_or(now + idle_wait));
            continue;
        }
        const std::vector<claim_entry> claims =
            can_claim ? dequeue_claims(now) : std::vector<claim_entry>();
        lock.unlock();
        const bool appended = append_batch(claims);
        lock.lock();
        const milliseconds pause =
            appended ? options_.append_interval
                     : std::max(options_.append_interval, append_retry_pause);
        writer_wake_.wait_until(lock, now + pause, [this] { return stopping_; });
    }
}

/// Returns the claims to append next and marks them as sent.
std::vector<claim_entry> claim_client::dequeue_claims(time_point now)
{
    std::vector<claim_entry> claims;
    for (const call_id& call : queued_calls_)
    {
        const auto found = calls_.find(call);
        const bool is_waiting = found != calls_.end() &&
                                found->second.stage == call_stage::queued &&
                                found->second.decide_by > now;
        if (is_waiting)
        {
            found->second.stage = call_stage::sent;
            claims.push_back({found->second.key, call, options_.node, remember_time_});
        }
    }
    queued_calls_.clear();
    return claims;
}

/// Appends claims together with the waiting release and done entries. Returns false if
/// the append failed; release and done entries are then appended again. spec/claims.pml,
/// label append_claim: a claim is appended only once.
bool claim_client::append_batch(const std::vector<claim_entry>& claims)
{
    std::vector<release_entry> releases;
    std::vector<done_entry> done_entries;
    claims_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        releases.swap(release_entries_);
        done_entries.swap(done_entries_);
        done_entries_due_.reset();
    }
    batch.entries.insert(batch.entries.end(), releases.begin(), releases.end());
    batch.entries.insert(batch.entries.end(), done_entries.begin(), done_entries.end());
    batch.entries.insert(batch.entries.end(), claims.begin(), claims.end());
    if (batch.entries.empty())
    {
        return true;
    }
    try
    {
        log_.append(stream_, encode_claims_record(batch), options_.append_timeout);
        return true;
    }
    catch (const log_unavailable_error&)
    {
        reject_claims(claims);
    }
    catch (const log_unknown_error&)
    {
        // The follower reads the claims from the log, or the timer thread releases them.
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    release_entries_.insert(release_entries_.end(), releases.begin(), releases.end());
    done_entries_.insert(done_entries_.end(), done_entries.begin(), done_entries.end());
    if (!done_entries_.empty())
    {
        done_entries_due_ = clock::now() + options_.max_done_delay;
    }
    return false;
}

/// Answers claims that are certainly not in the log as unavailable. They need no release
/// entry.
void claim_client::reject_claims(const std::vector<claim_entry>& claims)
{
    std::vector<callback> refused_callbacks;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const claim_entry& claim : claims)
        {
            const auto found = calls_.find(claim.call);
            if (found != calls_.end() && found->second.stage == call_stage::sent)
            {
                refused_callbacks.push_back(std::move(found->second.on_decision));
                calls_.erase(found);
            }
        }
    }
    for (const callback& on_decision : refused_callbacks)
    {
        on_decision(claim_unavailable{});
    }
}

void claim_client::run_timer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        timer_wake_.wait_until(lock, next_deadline().value_or(clock::now() + idle_wait));
        std::vector<callback> refused_callbacks;
        expire_calls(clock::now(), refused_callbacks);
        lock.unlock();
        for (const callback& on_decision : refused_callbacks)
        {
            on_decision(claim_unavailable{});
        }
        lock.lock();
    }
}

void claim_client::expire_calls(time_point now, std::vector<callback>& refused_callbacks)
{
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        const auto found = it++;
        pending_call& pending = found->second;
        const bool undecided =
            pending.stage == call_stage::queued || pending.stage == call_stage::sent;
        if (undecided && pending.decide_by <= now)
        {
            refused_callbacks.push_back(std::move(pending.on_decision));
            release_claim(found);
        }
        else if (pending.stage == call_stage::granted && pending.dispatch_by <= now)
        {
            release_claim(found);
        }
    }
    // Without a complete table the writer removes no call from the queue, so the queue is
    // pruned here to bound its size.
    if (queued_calls_.size() > calls_.size())
    {
        const auto is_removed = [this](const call_id& call)
        {
            return calls_.count(call) == 0;
        };
        queued_calls_.erase(
            std::remove_if(queued_calls_.begin(), queued_calls_.end(), is_removed),
            queued_calls_.end());
    }
}

std::optional<time_point> claim_client::next_deadline() const
{
    std::optional<time_point> deadline;
    for (const auto& [call, pending] : calls_)
    {
        if (pending.stage != call_stage::dispatched)
        {
            const bool granted = pending.stage == call_stage::granted;
            const time_point due = granted ? pending.dispatch_by : pending.decide_by;
            deadline = std::min(due, deadline.value_or(due));
        }
    }
    return deadline;
}

void claim_client::on_page(const log_page& page)
{
    std::vector<claim_decision> decisions;
    std::vector<claims_state::malformed_record> problems;
    std::int64_t unknown_until_ms = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::int64_t unknown_before_ms = state_.table().unknown_until_ms();
        for (const log_record& record : page.records)
        {
            if (auto problem = state_.add(record))
            {
                problems.push_back(std::move(*problem));
            }
        }
        if (!caught_up_ && state_.complete() && page.next == state_.next())
        {
            caught_up_ = true;
            writer_wake_.notify_all();
        }
        decisions = state_.table().take_decisions();
        const std::int64_t unknown_after_ms = state_.table().unknown_until_ms();
        unknown_until_ms = unknown_after_ms != unknown_before_ms ? unknown_after_ms : 0;
        writer_wake_.notify_all();
    }
    if (unknown_until_ms > 0)
    {
        report_fault(
            "claims_table_lost",
            fmt::format("earlier claims of keys are unknown; at-most-once calls are "
                        "refused until {} ms by the log's clock",
                        unknown_until_ms));
    }
    for (const claims_state::malformed_record& problem : problems)
    {
        report_fault("claims_record_malformed",
                     fmt::format("offset {}: {}", problem.offset.get(), problem.reason));
    }
    deliver_decisions(decisions);
    append_checkpoint_if_due();
    append_table_lost_if_due(page);
}

void claim_client::on_read_fault(const error& problem)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        table_loss_timer_.reset();
    }
    report_fault("claims_log_fault", problem.what());
}

void claim_client::on_truncated(log_offset oldest)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state_.restart(oldest);
        caught_up_ = false;
        checkpoint_timer_.reset();
    }
    report_fault(
        "log_truncated",
        fmt::format("unread records were dropped; reading continues at offset {}",
                    oldest.get()));
}

/// Delivers decisions to the calls of this node that still wait. spec/claims.pml, label
/// read_back: a claim is decided by its record in the log, never by the answer to the
/// append.
void claim_client::deliver_decisions(const std::vector<claim_decision>& decisions)
{
    for (const claim_decision& decision : decisions)
    {
        callback on_decision;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = calls_.find(decision.call);
            if (found == calls_.end() || found->second.stage != call_stage::sent)
            {
                continue;
            }
            on_decision = std::move(found->second.on_decision);
            if (decision.granted)
            {
                found->second.stage = call_stage::granted;
            }
            else
            {
                calls_.erase(found);
            }
        }
        if (decision.granted)
        {
            on_decision(claim_granted{});
        }
        else if (decision.table_unknown)
        {
            on_decision(claim_unavailable{});
        }
        else
        {
            on_decision(claim_key_in_use{decision.holder_done});
        }
    }
}

/// Appends a checkpoint of the table if the record at which new readers start is too old.
void claim_client::append_checkpoint_if_due()
{
    claims_record checkpoint;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool needed =
            caught_up_ && state_.needs_checkpoint(wall_clock_ms(), options_.retention);
        if (!checkpoint_timer_.is_due(needed, clock::now(), options_.retention, random_))
        {
            return;
        }
        checkpoint = state_.table().to_checkpoint(state_.next());
    }
    try
    {
        log_.append(stream_, encode_claims_record(checkpoint), options_.append_timeout);
    }
    catch (const error& problem)
    {
        report_fault("carry_failed", problem.what());
    }
}

/// Declares the table lost if the stream has had no usable checkpoint for too long.
void claim_client::append_table_lost_if_due(const log_page& page)
{
    claims_table_lost table_lost;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool lacks_checkpoint = !state_.complete() && page.next == state_.next();
        if (!table_loss_timer_.is_due(lacks_checkpoint, clock::now(), options_.retention))
        {
            return;
        }
        table_lost.as_of = state_.next();
        table_lost.unknown_for = max_remember_time;
    }
    try
    {
        log_.append(stream_, encode_claims_record(table_lost), options_.append_timeout);
    }
    catch (const error& problem)
    {
        report_fault("carry_failed", problem.what());
    }
}

void claim_client::report_fault(const std::string& name, const std::string& reason) const
{
    if (on_fault_)
    {
        on_fault_(name, reason);
    }
}

} // namespace fescueridge
