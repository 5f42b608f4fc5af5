#include "fescueridge/node/sheet_sync.hpp"

#include <algorithm>

#include "fescueridge/overload/rendezvous.hpp"

namespace fescueridge
{

sheet_sync::sheet_sync(const node_id& self, const domain_name& domain, log_service* log,
                       milliseconds log_retention, peer_table& peers,
                       sheet_holder& sheets, event_log& events, sender send,
                       std::function<void(sheet_version)> on_change)
    : self_(self), domain_(domain), peers_(peers), sheets_(sheets), events_(events),
      send_(std::move(send)), on_change_(std::move(on_change)), started_(clock::now())
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
    if (sheets_.adopt(sheet.version, sheet.offset, sheet.content))
    {
        const auto version = static_cast<std::int64_t>(sheet.version.get());
        events_.record("sheet_in_force", {{"version", version}});
        on_change_(sheet.version);
    }
}

void sheet_sync::tick()
{
    if (const auto holder = peers_.holder_of_newer_sheet(sheets_.version()))
    {
        send_(*holder, sheet_pull_message{sheets_.version()});
    }
    if (!ready_ && compute_ready())
    {
        ready_ = true;
        const auto version = static_cast<std::int64_t>(sheets_.version().get());
        events_.record("node_ready", {{"version", version}});
    }
    if (follower_)
    {
        const auto readers = choose_by_rendezvous(
            "config-readers", peers_.live_nodes(domain_), readers_per_domain);
        const bool chosen =
            std::find(readers.begin(), readers.end(), self_) != readers.end();
        follower_->set_following(chosen || !ready_);
    }
}

bool sheet_sync::compute_ready() const
{
    const sheet_version version = sheets_.version();
    if (version == sheet_version(0) || peers_.holder_of_newer_sheet(version))
    {
        return false;
    }
    const bool read_log = follower_ && follower_->caught_up();
    const bool asked_peers =
        peers_.has_live_neighbour() && clock::now() - started_ >= peer_answer_time;
    return read_log || asked_peers;
}

bool sheet_sync::ready() const
{
    return ready_;
}

void sheet_sync::on_peer_version(const node_id& peer, sheet_version version)
{
    if (version > sheets_.version())
    {
        send_(peer, sheet_pull_message{sheets_.version()});
    }
}

void sheet_sync::on_pull(const node_id& peer, const sheet_pull_message& pull)
{
    const auto snapshot = sheets_.get();
    if (snapshot && snapshot->version > pull.have)
    {
        send_(peer, sheet_push_message{snapshot->version, snapshot->offset,
                                       snapshot->rules->content()});
    }
}

void sheet_sync::on_push(const sheet_push_message& push)
{
    const sheet_in_force sheet{push.version, push.offset, push.content};
    if (follower_)
    {
        follower_->offer(sheet); // calls adopt() if it is newer
        return;
    }
    adopt(sheet);
}

} // namespace fescueridge
