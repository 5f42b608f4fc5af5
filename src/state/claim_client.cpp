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
constexpr milliseconds failure_pause{200};

// Longest wait of an idle thread; new work wakes it earlier.
constexpr milliseconds idle_wait{1'000};

follow_options for_stream(follow_options options, const std::string& stream)
{
    options.stream = stream;
    return options;
}

} // namespace

claim_client::claim_client(log_service& log, claim_client_options options,
                           fault_handler on_fault)
    : log_(log), options_(std::move(options)), stream_(claims_stream(options_.service)),
      on_fault_(std::move(on_fault)), random_(random_seed()), remember_(options_.remember)
{
    follower_.emplace(log_, for_stream(options_.follow, stream_),
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
                           milliseconds time_left, callback done)
{
    const time_point now = clock::now();
    claim_result refusal = claim_unavailable{};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool unknown = state_.table().unknown_until_ms() > 0;
        const std::optional<key_holder> holder = state_.complete() && caught_up_
                                                     ? state_.table().find(hash_of(key))
                                                     : std::nullopt;
        if (holder)
        {
            refusal = claim_key_in_use{holder->done()};
        }
        else if (!stopping_ && !unknown && time_left > milliseconds(0))
        {
            pending_call pending;
            pending.key = hash_of(key);
            pending.decide_by = now + std::min(time_left, options_.decision_timeout);
            pending.dispatch_by = now + time_left;
            pending.done = std::move(done);
            calls_[call] = std::move(pending);
            queue_.push_back(call);
            writer_wake_.notify_all();
            timer_wake_.notify_all();
            return;
        }
    }
    done(refusal);
}

// spec/claims.pml, label dispatch. The stage is checked and changed under one lock of the
// mutex that abandon() and the timer thread also lock.
bool claim_client::confirm_dispatch(const call_id& call, time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.at == stage::dispatched)
    {
        return false;
    }
    if (found->second.at != stage::won || now >= found->second.dispatch_by)
    {
        give_up(found);
        return false;
    }
    found->second.at = stage::dispatched;
    return true;
}

void claim_client::finish(const call_id& call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.at != stage::dispatched)
    {
        return;
    }
    dones_.push_back({found->second.key, call});
    calls_.erase(found);
    if (!done_due_)
    {
        done_due_ = clock::now() + options_.done_delay;
        writer_wake_.notify_all();
    }
}

bool claim_client::abandon(const call_id& call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.at == stage::dispatched)
    {
        return false;
    }
    give_up(found);
    return true;
}

// spec/claims.pml, label release: allowed even after confirm_dispatch().
void claim_client::release(const call_id& call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = calls_.find(call);
    if (found != calls_.end())
    {
        give_up(found);
    }
}

/// Removes a call so that it can no longer be dispatched, and queues a release entry if
/// its claim may be in the log. spec/claims.pml, label give_up.
void claim_client::give_up(calls::iterator found)
{
    if (found->second.at != stage::queued)
    {
        voids_.push_back({found->second.key, found->first});
        writer_wake_.notify_all();
    }
    calls_.erase(found);
}

void claim_client::set_remember(milliseconds remember)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    remember_ = remember;
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
        const bool can_claim = !queue_.empty() && can_decide();
        const bool dones_due = done_due_ && *done_due_ <= now;
        if (!can_claim && voids_.empty() && !dones_due)
        {
            writer_wake_.wait_until(lock, done_due_.value_or(now + idle_wait));
            continue;
        }
        const std::vector<claim_entry> claims =
            can_claim ? take_queued(now) : std::vector<claim_entry>();
        lock.unlock();
        const bool appended = append_batch(claims);
        lock.lock();
        const milliseconds pause =
            appended ? options_.append_interval
                     : std::max(options_.append_interval, failure_pause);
        writer_wake_.wait_until(lock, now + pause, [this] { return stopping_; });
    }
}

/// Returns the claims to append next and marks them as sent.
std::vector<claim_entry> claim_client::take_queued(time_point now)
{
    std::vector<claim_entry> claims;
    for (const call_id& call : queue_)
    {
        const auto found = calls_.find(call);
        const bool waits = found != calls_.end() && found->second.at == stage::queued &&
                           found->second.decide_by > now;
        if (waits)
        {
            found->second.at = stage::sent;
            claims.push_back({found->second.key, call, options_.node, remember_});
        }
    }
    queue_.clear();
    return claims;
}

/// Appends claims together with the waiting release and done entries. Returns false if
/// the append failed; release and done entries are then appended again. spec/claims.pml,
/// label append_claim: a claim is appended only once.
bool claim_client::append_batch(const std::vector<claim_entry>& claims)
{
    std::vector<void_entry> voids;
    std::vector<done_entry> dones;
    claims_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        voids.swap(voids_);
        dones.swap(dones_);
        done_due_.reset();
    }
    batch.entries.insert(batch.entries.end(), voids.begin(), voids.end());
    batch.entries.insert(batch.entries.end(), dones.begin(), dones.end());
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
        drop_claims(claims);
    }
    catch (const log_unknown_error&)
    {
        // The follower reads the claims from the log, or the timer thread releases them.
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    voids_.insert(voids_.end(), voids.begin(), voids.end());
    dones_.insert(dones_.end(), dones.begin(), dones.end());
    if (!dones_.empty())
    {
        done_due_ = clock::now() + options_.done_delay;
    }
    return false;
}

/// Answers claims that are certainly not in the log as unavailable. They need no release
/// entry.
void claim_client::drop_claims(const std::vector<claim_entry>& claims)
{
    std::vector<callback> refused;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const claim_entry& claim : claims)
        {
            const auto found = calls_.find(claim.call);
            if (found != calls_.end() && found->second.at == stage::sent)
            {
                refused.push_back(std::move(found->second.done));
                calls_.erase(found);
            }
        }
    }
    for (const callback& done : refused)
    {
        done(claim_unavailable{});
    }
}

void claim_client::run_timer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        timer_wake_.wait_until(lock, next_deadline().value_or(clock::now() + idle_wait));
        std::vector<callback> refused;
        expire(clock::now(), refused);
        lock.unlock();
        for (const callback& done : refused)
        {
            done(claim_unavailable{});
        }
        lock.lock();
    }
}

void claim_client::expire(time_point now, std::vector<callback>& refused)
{
    for (auto it = calls_.begin(); it != calls_.end();)
    {
        const auto found = it++;
        pending_call& pending = found->second;
        const bool undecided = pending.at == stage::queued || pending.at == stage::sent;
        if (undecided && pending.decide_by <= now)
        {
            refused.push_back(std::move(pending.done));
            give_up(found);
        }
        else if (pending.at == stage::won && pending.dispatch_by <= now)
        {
            give_up(found);
        }
    }
    // Without a complete table the writer removes no call from the queue, so the queue is
    // pruned here to bound its size.
    if (queue_.size() > calls_.size())
    {
        const auto is_gone = [this](const call_id& call)
        {
            return calls_.count(call) == 0;
        };
        queue_.erase(std::remove_if(queue_.begin(), queue_.end(), is_gone), queue_.end());
    }
}

std::optional<time_point> claim_client::next_deadline() const
{
    std::optional<time_point> deadline;
    for (const auto& [call, pending] : calls_)
    {
        if (pending.at != stage::dispatched)
        {
            const bool won = pending.at == stage::won;
            const time_point due = won ? pending.dispatch_by : pending.decide_by;
            deadline = std::min(due, deadline.value_or(due));
        }
    }
    return deadline;
}

void claim_client::on_page(const log_page& page)
{
    std::vector<claim_decision> decisions;
    std::vector<claims_state::malformed> problems;
    std::int64_t unknown_until_ms = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::int64_t before = state_.table().unknown_until_ms();
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
        const std::int64_t after = state_.table().unknown_until_ms();
        unknown_until_ms = after != before ? after : 0;
        writer_wake_.notify_all();
    }
    if (unknown_until_ms > 0)
    {
        report("claims_table_lost",
               fmt::format("earlier claims of keys are unknown; at-most-once calls are "
                           "refused until {} ms by the log's clock",
                           unknown_until_ms));
    }
    for (const claims_state::malformed& problem : problems)
    {
        report("claims_record_malformed",
               fmt::format("offset {}: {}", problem.offset.get(), problem.reason));
    }
    decide(decisions);
    carry_if_due();
    tell_lost_if_due(page);
}

void claim_client::on_read_fault(const error& problem)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        lost_timer_.reset();
    }
    report("claims_log_fault", problem.what());
}

void claim_client::on_truncated(log_offset oldest)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state_.restart(oldest);
        caught_up_ = false;
        carry_timer_.reset();
    }
    report("log_truncated",
           fmt::format("unread records were dropped; reading continues at offset {}",
                       oldest.get()));
}

/// Delivers decisions to the calls of this node that still wait. spec/claims.pml, label
/// read_back: a claim is decided by its record in the log, never by the answer to the
/// append.
void claim_client::decide(const std::vector<claim_decision>& decisions)
{
    for (const claim_decision& decision : decisions)
    {
        callback done;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = calls_.find(decision.call);
            if (found == calls_.end() || found->second.at != stage::sent)
            {
                continue;
            }
            done = std::move(found->second.done);
            if (decision.won)
            {
                found->second.at = stage::won;
            }
            else
            {
                calls_.erase(found);
            }
        }
        if (decision.won)
        {
            done(claim_won{});
        }
        else if (decision.unknown)
        {
            done(claim_unavailable{});
        }
        else
        {
            done(claim_key_in_use{decision.owner_done});
        }
    }
}

/// Appends a checkpoint of the table if the record at which new readers start is too old.
void claim_client::carry_if_due()
{
    claims_record carry;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool needed =
            caught_up_ && state_.needs_carry(wall_clock_ms(), options_.retention);
        if (!carry_timer_.is_due(needed, clock::now(), options_.retention, random_))
        {
            return;
        }
        carry = state_.table().to_carry(state_.next());
    }
    try
    {
        log_.append(stream_, encode_claims_record(carry), options_.append_timeout);
    }
    catch (const error& problem)
    {
        report("carry_failed", problem.what());
    }
}

/// Declares the table lost if the stream has had no usable checkpoint for too long.
void claim_client::tell_lost_if_due(const log_page& page)
{
    claims_lost lost;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool lacks_carry = !state_.complete() && page.next == state_.next();
        if (!lost_timer_.is_due(lacks_carry, clock::now(), options_.retention))
        {
            return;
        }
        lost.as_of = state_.next();
        lost.unknown_for = max_remember;
    }
    try
    {
        log_.append(stream_, encode_claims_record(lost), options_.append_timeout);
    }
    catch (const error& problem)
    {
        report("carry_failed", problem.what());
    }
}

void claim_client::report(const std::string& name, const std::string& reason) const
{
    if (on_fault_)
    {
        on_fault_(name, reason);
    }
}

} // namespace fescueridge
