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

follow_options with_start_paused(follow_options options)
{
    options.start_paused = true;
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
      random_(random_seed()), submit_id_prefix_(fmt::format("{:016x}", random_())),
      follower_(log, with_start_paused(options_.follow),
                {[this](const log_page& page) { on_page(page); },
                 [this](log_offset oldest) { on_truncated(oldest); },
                 [this](const error& problem)
                 {
                     const bool backwards =
                         dynamic_cast<const log_backwards_error*>(&problem) != nullptr;
                     report_fault(backwards ? "log_backwards" : "log_unavailable",
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

void config_follower::change_waiting_submits(int change)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_submits_ += change;
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
        state_.table().supply_content(sheet.version, sheet.content, sheet.author);
    }
    publish_sheet();
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
    std::vector<config_state::malformed_record> problems;
    std::optional<std::string> difference_error;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const log_record& record : page.records)
        {
            const sheet_version previous_version = state_.table().version();
            if (auto problem = state_.add(record))
            {
                problems.push_back(std::move(*problem));
            }
            store_step(previous_version);
        }
        if (in_force_)
        {
            state_.table().supply_content(in_force_->version, in_force_->content,
                                          in_force_->author);
        }
        difference_error.swap(difference_error_);
        const bool at_end = page.next == state_.next();
        caught_up_ = caught_up_ || (at_end && state_.complete());
        const sheet_version version = state_.table().version();
        const sheet_version version_in_force =
            in_force_ ? in_force_->version : sheet_version(0);
        // A reader that is still catching up must not put an old version in force.
        // spec/sheet.pml, label adopt: the version in force never decreases.
        if (caught_up_ && at_end && version > version_in_force &&
            state_.table().has_content())
        {
            put_in_force({version, state_.next(), state_.table().content(),
                          state_.table().author(),
                          step_history_.since(version_in_force)
                              .value_or(std::vector<sheet_step>())});
        }
        state_changed_.notify_all();
    }
    for (const config_state::malformed_record& problem : problems)
    {
        report_fault("config_record_malformed",
                     fmt::format("offset {}: {}", problem.offset.get(), problem.reason));
    }
    if (difference_error)
    {
        report_fault("sheet_difference_refused", *difference_error);
    }
    publish_sheet();
    append_checkpoint_if_due();
}

/// Stores the step to a new version, or the reason why its difference was not applied.
void config_follower::store_step(sheet_version previous_version)
{
    const config_table& table = state_.table();
    if (table.version() == previous_version)
    {
        return;
    }
    if (const sheet_step* step = table.last_step())
    {
        step_history_.add(*step);
        return;
    }
    step_history_.clear();
    if (!table.has_content())
    {
        difference_error_ =
            fmt::format("version {}: {}", table.version().get(), table.content_error());
    }
}

void config_follower::on_truncated(log_offset oldest)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state_.restart(oldest);
        step_history_.clear();
        checkpoint_timer_.reset();
    }
    report_fault(
        "log_truncated",
        fmt::format("unread records were dropped; reading continues at offset {}",
                    oldest.get()));
}

void config_follower::publish_sheet()
{
    const std::lock_guard<std::mutex> publish_lock(publish_mutex_);
    const std::optional<sheet_in_force> sheet = current();
    if (sheet && sheet->version > published_version_)
    {
        published_version_ = sheet->version;
        if (handlers_.changed)
        {
            handlers_.changed(*sheet);
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        if (in_force_->version == published_version_)
        {
            in_force_->steps.clear();
        }
    }
}

/// Appends a checkpoint of the sheet if new readers would start at a record that is too
/// old or replay too many differences.
void config_follower::append_checkpoint_if_due()
{
    sheet_checkpoint_record checkpoint;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const config_table& table = state_.table();
        const bool many_differences =
            options_.retention.count() > 0 &&
            table.differences_to_replay() >= max_replayed_differences;
        const bool start_is_old =
            state_.needs_checkpoint(wall_clock_ms(), options_.retention);
        const bool needed =
            caught_up_ && table.has_content() && (many_differences || start_is_old);
        if (!checkpoint_timer_.is_due(needed, clock::now(), options_.retention, random_))
        {
            return;
        }
        checkpoint = {table.version(), state_.next(), table.content(), table.author()};
    }
    try
    {
        log_.append(options_.follow.stream, encode_config_record(checkpoint),
                    options_.append_timeout);
    }
    catch (const error& problem)
    {
        report_fault("carry_failed", problem.what());
    }
}

void config_follower::report_fault(const std::string& name, const std::string& reason)
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
config_record config_follower::make_submit_record(const std::string& id,
                                                  sheet_version base,
                                                  const std::string& author,
                                                  const std::string& content) const
{
    if (in_force_ && in_force_->version == base)
    {
        content_difference difference = find_difference(in_force_->content, content);
        if (encode_difference(difference).size() < content.size() / 2)
        {
            return submit_difference_record{id, base, author, std::move(difference)};
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
            id = fmt::format("{}-{}", submit_id_prefix_, ++submit_counter_);
        }
        auto decision = state_.table().find_decision(id);
        if (is_decided(decision))
        {
            return decision;
        }
        record = make_submit_record(id, base, author, content);
    }
    struct following_scope
    {
        config_follower& follower;
        explicit following_scope(config_follower& target) : follower(target)
        {
            follower.change_waiting_submits(1);
        }
        ~following_scope() { follower.change_waiting_submits(-1); }
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
        const auto is_finished = [&]
        {
            return stopping_ || is_decided(state_.table().find_decision(id));
        };
        const time_point until =
            answered ? deadline : std::min(deadline, clock::now() + read_back_time);
        state_changed_.wait_until(lock, until, is_finished);
        if (is_finished() || clock::now() >= deadline)
        {
            return state_.table().find_decision(id);
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
        state_changed_.notify_all();
    }
    follower_.stop();
}

} // namespace fescueridge
