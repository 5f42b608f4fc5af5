#include "fescueridge/state/config_follower.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace fescueridge
{

namespace
{

// After a lost answer, the decision on a submit is read back from the log for this time
// before the submit is appended again.
constexpr milliseconds read_back_time{1'000};

// Approximate limit on the differences that a new reader replays after the checkpoint;
// see section 6.1 of the design.
constexpr std::size_t max_replayed_differences = 1'000;

follow_options paused(follow_options options)
{
    options.paused = true;
    return options;
}

bool is_decided(const submit_decision& result)
{
    return !std::holds_alternative<submit_not_seen>(result);
}

} // namespace

config_follower::config_follower(log_service& log, config_follower_options options,
                                 config_follower_handlers handlers)
    : log_(log), options_(std::move(options)), handlers_(std::move(handlers)),
      random_(random_seed()), id_prefix_(fmt::format("{:016x}", random_())),
      follower_(log, paused(options_.follow),
                {[this](const log_page& page) { on_page(page); },
                 [this](log_offset oldest) { on_truncated(oldest); },
                 [this](const error& problem)
                 {
                     const bool backwards =
                         dynamic_cast<const log_backwards_error*>(&problem) != nullptr;
                     report(backwards ? "log_backwards" : "log_unavailable",
                            problem.what());
                 }})
{
}

config_follower::~config_follower()
{
    stop();
}

void config_follower::set_following(bool following)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    following_ = following;
    follower_.set_following(following_ || waiting_submits_ > 0);
}

void config_follower::update_following(int waiting_change)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_submits_ += waiting_change;
    follower_.set_following(following_ || waiting_submits_ > 0);
}

bool config_follower::offer(const sheet_in_force& sheet)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (in_force_ && sheet.version <= in_force_->version)
        {
            return false;
        }
        put_in_force(sheet);
        state_.table().supply(sheet.version, sheet.content, sheet.author);
    }
    publish();
    return true;
}

/// Replaces the sheet in force and keeps the steps to a version that was not published
/// yet. The mutex must be locked.
void config_follower::put_in_force(sheet_in_force sheet)
{
    if (in_force_ && !in_force_->steps.empty() && !sheet.steps.empty() &&
        in_force_->version.get() + 1 == sheet.steps.front().version.get())
    {
        sheet.steps.insert(sheet.steps.begin(), in_force_->steps.begin(),
                           in_force_->steps.end());
    }
    in_force_ = std::move(sheet);
}

std::optional<sheet_in_force> config_follower::current() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return in_force_;
}

bool config_follower::caught_up() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return caught_up_;
}

void config_follower::on_page(const log_page& page)
{
    std::vector<config_state::malformed> problems;
    std::optional<std::string> difference_problem;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const log_record& record : page.records)
        {
            const sheet_version before = state_.table().version();
            if (auto problem = state_.add(record))
            {
                problems.push_back(std::move(*problem));
            }
            note_version(before);
        }
        if (in_force_)
        {
            state_.table().supply(in_force_->version, in_force_->content,
                                  in_force_->author);
        }
        difference_problem.swap(difference_problem_);
        const bool at_end = page.next == state_.next();
        caught_up_ = caught_up_ || (at_end && state_.complete());
        const sheet_version version = state_.table().version();
        const sheet_version known = in_force_ ? in_force_->version : sheet_version(0);
        // A reader that is still catching up must not put an old version in force.
        // spec/sheet.pml, label adopt: the version in force never decreases.
        if (caught_up_ && at_end && version > known && state_.table().has_content())
        {
            put_in_force({version, state_.next(), state_.table().content(),
                          state_.table().author(),
                          log_steps_.since(known).value_or(std::vector<sheet_step>())});
        }
        changed_.notify_all();
    }
    for (const config_state::malformed& problem : problems)
    {
        report("config_record_malformed",
               fmt::format("offset {}: {}", problem.offset.get(), problem.reason));
    }
    if (difference_problem)
    {
        report("sheet_difference_refused", *difference_problem);
    }
    publish();
    carry_if_due();
}

/// Stores the step to a new version, or the reason why its difference was not applied.
void config_follower::note_version(sheet_version before)
{
    const config_table& table = state_.table();
    if (table.version() == before)
    {
        return;
    }
    if (const sheet_step* step = table.last_step())
    {
        log_steps_.add(*step);
        return;
    }
    log_steps_.clear();
    if (!table.has_content())
    {
        difference_problem_ =
            fmt::format("version {}: {}", table.version().get(), table.problem());
    }
}

void config_follower::on_truncated(log_offset oldest)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state_.restart(oldest);
        log_steps_.clear();
        carry_timer_.reset();
    }
    report("log_truncated",
           fmt::format("unread records were dropped; reading continues at offset {}",
                       oldest.get()));
}

void config_follower::publish()
{
    const std::lock_guard<std::mutex> in_order(publish_mutex_);
    const std::optional<sheet_in_force> sheet = current();
    if (sheet && sheet->version > published_)
    {
        published_ = sheet->version;
        if (handlers_.changed)
        {
            handlers_.changed(*sheet);
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        if (in_force_->version == published_)
        {
            in_force_->steps.clear();
        }
    }
}

/// Appends a checkpoint of the sheet if new readers would start at a record that is too
/// old or replay too many differences.
void config_follower::carry_if_due()
{
    sheet_carry_record carry;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const config_table& table = state_.table();
        const bool many = options_.retention.count() > 0 &&
                          table.differences_to_replay() >= max_replayed_differences;
        const bool old = state_.needs_carry(wall_clock_ms(), options_.retention);
        const bool needed = caught_up_ && table.has_content() && (many || old);
        if (!carry_timer_.is_due(needed, clock::now(), options_.retention, random_))
        {
            return;
        }
        carry = {table.version(), state_.next(), table.content(), table.author()};
    }
    try
    {
        log_.append(options_.follow.stream, encode_config_record(carry),
                    options_.append_timeout);
    }
    catch (const error& problem)
    {
        report("carry_failed", problem.what());
    }
}

void config_follower::report(const std::string& name, const std::string& reason)
{
    if (handlers_.fault)
    {
        handlers_.fault(name, reason);
    }
}

/// Returns true if the append was answered, and false if it may have taken effect.
bool config_follower::append_submit(const config_record& record)
{
    try
    {
        log_.append(options_.follow.stream, encode_config_record(record),
                    options_.append_timeout);
        return true;
    }
    catch (const log_unknown_error&)
    {
        return false;
    }
}

/// Returns a record with a difference if the base is in force on this node and the
/// difference is smaller than half of the sheet, else with the whole sheet. The mutex
/// must be locked.
config_record config_follower::make_submit(const std::string& id, sheet_version base,
                                           const std::string& author,
                                           const std::string& content) const
{
    if (in_force_ && in_force_->version == base)
    {
        content_difference difference = find_difference(in_force_->content, content);
        if (encode_difference(difference).size() < content.size() / 2)
        {
            return submit_delta_record{id, base, author, std::move(difference)};
        }
    }
    return submit_record{id, base, author, content};
}

submit_decision config_follower::submit(const std::string& content, sheet_version base,
                                        const std::string& author,
                                        const std::string& submit_id)
{
    std::string id = submit_id;
    config_record record;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (id.empty())
        {
            id = fmt::format("{}-{}", id_prefix_, ++submit_counter_);
        }
        auto known = state_.table().result(id);
        if (is_decided(known))
        {
            return known;
        }
        record = make_submit(id, base, author, content);
    }
    struct following_scope
    {
        config_follower& owner;
        explicit following_scope(config_follower& f) : owner(f)
        {
            owner.update_following(1);
        }
        ~following_scope() { owner.update_following(-1); }
    } const scope(*this);
    return append_and_wait(id, record);
}

submit_decision config_follower::append_and_wait(const std::string& id,
                                                 const config_record& record)
{
    const time_point deadline = clock::now() + options_.submit_timeout;
    bool answered = append_submit(record);
    while (true)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const auto is_over = [&]
        {
            return stopping_ || is_decided(state_.table().result(id));
        };
        const time_point until =
            answered ? deadline : std::min(deadline, clock::now() + read_back_time);
        changed_.wait_until(lock, until, is_over);
        if (is_over() || clock::now() >= deadline)
        {
            return state_.table().result(id);
        }
        lock.unlock();
        // spec/sheet.pml, label retry_submit: the same id is used, so that it counts
        // once.
        try
        {
            answered = append_submit(record);
        }
        catch (const log_unavailable_error&)
        {
            // An earlier append may still be in the log, so the result is unknown.
            answered = false;
        }
    }
}

void config_follower::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    follower_.stop();
}

} // namespace fescueridge
