#include "gateway_node_impl.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Minimum time between pulls of the configuration from peers.
constexpr milliseconds config_pull_interval{100};

} // namespace

peer_callbacks gateway_node::impl::make_peer_callbacks()
{
    peer_callbacks callbacks;
    callbacks.on_forward = [this](const link_ptr& from, forward_message message)
    {
        on_forward(from, std::move(message));
    };
    callbacks.on_cancel =
        [this](const link_ptr& from, const forward_cancel_message& message)
    {
        on_cancel(from, message.number);
    };
    callbacks.on_recall =
        [this](const link_ptr& from, const forward_recall_message& message)
    {
        on_recall(from, message.number);
    };
    callbacks.on_link_closed = [this](const link_ptr& closed)
    {
        on_link_closed(closed);
    };
    callbacks.on_link_open = [this](const link_ptr& opened)
    {
        peers_.send(opened->peer().node, make_report(true));
        for (const auto& suspect : executor_.repeated_suspects())
            opened->send(suspect);
    };
    callbacks.on_report = [this](const peer& from)
    {
        on_report(from);
    };
    callbacks.on_config_pull =
        [this](const link_ptr& from, const config_pull_message& pull)
    {
        if (table_ && pull.have < table_->config().version)
            from->send(config_push_message{table_->config().version, config_text_});
    };
    callbacks.on_config_push = [this](const config_push_message& push)
    {
        apply_config(push.content, "peer");
    };
    callbacks.on_suspect = [this](const suspect_message& suspect)
    {
        executor_.on_suspect(suspect);
    };
    callbacks.on_quota_ask = [this](const link_ptr& from, const quota_ask_message& ask)
    {
        router_.quotas().on_ask(from, ask);
    };
    callbacks.on_quota_grant =
        [this](const link_ptr& from, const quota_grant_message& grant)
    {
        router_.quotas().on_grant(from, grant);
    };
    callbacks.on_own_server = [this](const own_server_message& own)
    {
        executor_.on_server_record_from_peer(own);
    };
    return callbacks;
}

void gateway_node::impl::on_forward(const link_ptr& from, forward_message message)
{
    const std::pair key{from.get(), message.number};
    auto answered = std::make_shared<bool>(false);
    const run_number run =
        executor_.submit(std::move(message),
                         [this, from, key, answered](const forward_reply_message& reply)
                         {
                             *answered = true;
                             remote_runs_.erase(key);
                             send_reply(from, reply);
                         });
    if (!*answered)
        remote_runs_[key] = run;
}

// An answer for which the links have no room is replaced: it has run.
void gateway_node::impl::send_reply(const link_ptr& to,
                                    const forward_reply_message& reply)
{
    if (to->send(reply) || reply.body.empty())
        return;
    forward_reply_message lost;
    lost.number = reply.number;
    lost.result = forward_result::unknown;
    lost.failure = forward_failure::server_broke_off;
    lost.load = reply.load;
    to->send(lost);
}

void gateway_node::impl::on_cancel(const link_ptr& from, std::uint64_t number)
{
    const auto found = remote_runs_.find({from.get(), number});
    if (found == remote_runs_.end())
        return;
    const run_number run = found->second;
    remote_runs_.erase(found);
    executor_.cancel(run);
}

void gateway_node::impl::on_recall(const link_ptr& from, std::uint64_t number)
{
    const auto found = remote_runs_.find({from.get(), number});
    if (found != remote_runs_.end())
        executor_.recall(found->second);
}

// Cancels the runs of the closed link, because their answers cannot be delivered.
void gateway_node::impl::on_link_closed(const link_ptr& closed)
{
    std::vector<run_number> runs;
    for (auto it = remote_runs_.lower_bound({closed.get(), 0});
         it != remote_runs_.end() && it->first.first == closed.get();)
    {
        runs.push_back(it->second);
        it = remote_runs_.erase(it);
    }
    for (const run_number run : runs)
        executor_.cancel(run);
}

void gateway_node::impl::on_report(const peer& from)
{
    const auto have = version_in_force();
    const auto now = clock::now();
    if (from.report.version <= have)
    {
        if (table_)
            config_follower_->confirm(now - from.report.config_unconfirmed_for);
        return;
    }
    // A version that this node could not apply is not pulled again.
    const bool is_unusable = from.report.version == unusable_version_;
    if (is_unusable || now < next_config_pull_ || !from.connection)
        return;
    next_config_pull_ = now + config_pull_interval;
    from.connection->send(config_pull_message{have});
}

} // namespace fescueridge::gateway
