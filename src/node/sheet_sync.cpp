#include "fescueridge/node/sheet_sync.hpp"

#include <algorithm>

#include "fescueridge/node/sheet_tree.hpp"

namespace fescueridge
{

namespace
{

std::size_t byte_size(const std::vector<sheet_step>& steps)
{
    std::size_t bytes = 0;
    for (const sheet_step& step : steps)
    {
        bytes += step.author.size() + step.difference.size();
    }
    return bytes;
}

/// Applies the steps that are newer than the snapshot. Throws codec_error,
/// difference_base_error or difference_result_error.
sheet_in_force apply_steps(const sheet_snapshot& snapshot,
                           const std::vector<sheet_step>& steps)
{
    sheet_in_force sheet{snapshot.version, snapshot.offset, snapshot.rules->content()};
    for (const sheet_step& step : steps)
    {
        if (step.version <= sheet.version)
        {
            continue;
        }
        if (step.version.get() != sheet.version.get() + 1)
        {
            throw codec_error("sheet delta: the version of a step is not one above the "
                              "previous version");
        }
        sheet.content =
            apply_difference(sheet.content, decode_difference(step.difference));
        sheet.version = step.version;
        sheet.offset = step.offset;
        sheet.author = step.author;
        sheet.steps.push_back(step);
    }
    return sheet;
}

} // namespace

sheet_sync::sheet_sync(const node_id& self, const domain_name& domain, log_service* log,
                       milliseconds log_retention, peer_table& peers,
                       sheet_holder& sheets, event_log& events, sender send,
                       std::function<void(sheet_version)> on_change)
    : self_(self), domain_(domain), peers_(peers), sheets_(sheets), events_(events),
      send_(std::move(send)), on_change_(std::move(on_change)), started_(clock::now()),
      random_(random_seed())
{
    if (log == nullptr)
    {
        return;
    }
    config_follower_options options;
    options.retention = log_retention;
    config_follower_handlers handlers;
    handlers.changed = [this](const sheet_in_force& sheet)
    {
        adopt(sheet);
    };
    handlers.fault = [this](const std::string& name, const std::string& reason)
    {
        events_.record(name, {{"reason", reason}});
    };
    follower_ = std::make_unique<config_follower>(*log, options, handlers);
    follower_->set_following(true);
}

sheet_sync::~sheet_sync()
{
    stop();
}

void sheet_sync::stop()
{
    if (follower_)
    {
        follower_->stop();
    }
}

void sheet_sync::adopt(const sheet_in_force& sheet)
{
    const sheet_version previous_version = sheets_.version();
    if (!sheets_.adopt(sheet.version, sheet.offset, sheet.content, sheet.author))
    {
        return;
    }
    store_steps(sheet.steps);
    const auto version = static_cast<std::int64_t>(sheet.version.get());
    events_.record("sheet_in_force", {{"version", version}});
    forward_steps(sheet.steps, previous_version);
    on_change_(sheet.version);
}

void sheet_sync::store_steps(const std::vector<sheet_step>& steps)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    pull_scheduler_.end();
    if (steps.empty())
    {
        history_.clear();
    }
    for (const sheet_step& step : steps)
    {
        history_.add(step);
    }
}

void sheet_sync::forward_steps(const std::vector<sheet_step>& steps,
                               sheet_version previous_version)
{
    sheet_delta_message delta;
    for (const sheet_step& step : steps)
    {
        if (step.version > previous_version)
        {
            delta.steps.push_back(step);
        }
    }
    if (delta.steps.empty() || delta.steps.size() > max_forwarded_steps)
    {
        return;
    }
    for (const node_id& child : sheet_children(self_, peers_.live_nodes(domain_)))
    {
        send_(child, delta);
    }
}

void sheet_sync::tick()
{
    pull_if_overdue();
    if (!ready_ && compute_ready())
    {
        ready_ = true;
        const auto version = static_cast<std::int64_t>(sheets_.version().get());
        events_.record("node_ready", {{"version", version}});
    }
    update_log_following();
}

void sheet_sync::update_log_following()
{
    if (follower_)
    {
        const auto readers = sheet_readers(peers_.live_nodes(domain_));
        const bool is_reader =
            std::find(readers.begin(), readers.end(), self_) != readers.end();
        follower_->set_following(is_reader || !ready_);
    }
}

void sheet_sync::pull_if_overdue()
{
    const sheet_version current_version = sheets_.version();
    const auto newer_node =
        peers_.choose_node_with_newest_sheet(current_version, random_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!pull_scheduler_.is_overdue(current_version, newer_node.has_value(),
                                        clock::now()))
        {
            return;
        }
    }
    pull(*newer_node, current_version);
}

/// Asks a peer for the changes since `base_version`, or for the whole sheet if it is 0,
/// unless a pull is active.
void sheet_sync::pull(const node_id& peer, sheet_version base_version)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!pull_scheduler_.try_begin(clock::now()))
        {
            return;
        }
    }
    send_(peer, sheet_pull_message{base_version});
}

bool sheet_sync::compute_ready() const
{
    const sheet_version version = sheets_.version();
    if (version == sheet_version(0) || peers_.node_with_newest_sheet(version))
    {
        return false;
    }
    const bool log_read = follower_ && follower_->caught_up();
    const bool peer_wait_over =
        peers_.has_live_peer_in_domain() && clock::now() - started_ >= peer_answer_wait;
    return log_read || peer_wait_over;
}

bool sheet_sync::ready() const
{
    return ready_;
}

void sheet_sync::on_peer_version(const node_id& peer, sheet_version version)
{
    const sheet_version current_version = sheets_.version();
    if (version > current_version)
    {
        pull(peer, current_version);
    }
}

void sheet_sync::on_pull(const node_id& peer, const sheet_pull_message& pull)
{
    const auto snapshot = sheets_.get();
    if (!snapshot || snapshot->version <= pull.have)
    {
        return;
    }
    link_message answer = make_answer(pull.have, *snapshot);
    std::size_t bytes = snapshot->rules->content().size();
    if (const auto* delta = std::get_if<sheet_delta_message>(&answer))
    {
        bytes = byte_size(delta->steps);
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!answer_budget_.try_consume(bytes, clock::now()))
        {
            return; // the peer asks another node after its answer_timeout
        }
    }
    send_(peer, std::move(answer));
}

/// Returns the differences since version `base_version` if they are known and smaller
/// than the whole sheet. Otherwise returns the whole sheet.
link_message sheet_sync::make_answer(sheet_version base_version,
                                     const sheet_snapshot& snapshot)
{
    const std::string& content = snapshot.rules->content();
    if (base_version != sheet_version(0))
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto steps = history_.since(base_version);
        if (steps && byte_size(*steps) < content.size())
        {
            return sheet_delta_message{std::move(*steps)};
        }
    }
    return sheet_push_message{snapshot.version, snapshot.offset, content,
                              snapshot.author};
}

void sheet_sync::on_push(const sheet_push_message& push)
{
    offer({push.version, push.offset, push.content, push.author});
}

void sheet_sync::on_delta(const node_id& peer, const sheet_delta_message& delta)
{
    const auto snapshot = sheets_.get();
    const sheet_version current_version = snapshot ? snapshot->version : sheet_version(0);
    if (delta.steps.empty() || delta.steps.back().version <= current_version)
    {
        return;
    }
    if (!snapshot || delta.steps.front().version.get() > current_version.get() + 1)
    {
        pull(peer, current_version);
        return;
    }
    try
    {
        offer(apply_steps(*snapshot, delta.steps));
    }
    catch (const error& problem)
    {
        events_.record("sheet_difference_refused",
                       {{"peer", peer.get()}, {"reason", std::string(problem.what())}});
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            pull_scheduler_
                .end(); // these differences may be the answer to the active pull
        }
        pull(peer, sheet_version(0));
    }
}

void sheet_sync::offer(const sheet_in_force& sheet)
{
    if (follower_)
    {
        follower_->offer(sheet); // calls adopt() if the sheet is newer
        return;
    }
    adopt(sheet);
}

} // namespace fescueridge
