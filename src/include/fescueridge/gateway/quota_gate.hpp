#pragma once

#include <functional>

#include "fescueridge/gateway/peers.hpp"
#include "fescueridge/gateway/settings.hpp"
#include "fescueridge/overload/quota_exchange.hpp"

namespace fescueridge::gateway
{

/// Connects the quotas of tenants to the links between nodes: sends the messages that
/// quota_exchange wants sent, and keeps its list of nodes current. Used from one io
/// thread.
class quota_gate
{
public:
    /// `on_decided` is called for each request that waited.
    quota_gate(const node_settings& settings, peers& node_peers,
               std::function<void(quota_waiter, const quota_decision&)> on_decided);

    void set_limits(std::map<quota_name, quota_limit> limits);

    /// Decides on a request; a waiting one is decided later.
    quota_decision admit(const quota_name& quota, quota_waiter waiter);

    void cancel(const quota_name& quota, quota_waiter waiter);

    /// Returns the token of a request that did not run.
    void give_back(const quota_name& quota);

    void on_ask(const link_ptr& from, const quota_ask_message& ask);
    void on_grant(const link_ptr& from, const quota_grant_message& grant);

    /// Call it every 50 ms. `nodes_known` tells whether the node has listed the nodes in
    /// the log; a linked peer has told its own list.
    void poll(bool nodes_known);

    /// Grants no tokens from now on, because the process ends.
    void stop_granting() { exchange_.stop_granting(); }

    const std::map<quota_name, quota_counters>& counters() const
    {
        return exchange_.counters();
    }

private:
    void send_and_decide();
    void update_members(time_point now);

    quota_member self_;
    peers& peers_;
    std::function<void(quota_waiter, const quota_decision&)> on_decided_;
    quota_exchange exchange_;
    time_point next_members_update_{};
};

} // namespace fescueridge::gateway
