#include "node_impl.hpp"

namespace fescueridge
{

link_callbacks node::impl::make_link_callbacks()
{
    link_callbacks callbacks;
    callbacks.on_open = [this](const link_ptr& opened, const hello_message& hello)
    {
        peers_.on_link_open(opened->peer().node);
        sheet_sync_->on_peer_version(hello.node, hello.version);
    };
    callbacks.on_message = [this](const link_ptr& from, link_message message)
    {
        on_message(from, std::move(message));
    };
    callbacks.on_close = [this](const link_ptr& closed)
    {
        on_link_closed(closed);
    };
    callbacks.on_fault = [this](const link_fault& fault)
    {
        events_.record("link_fault", {{"kind", std::string(to_string(fault.kind))},
                                      {"remote", to_string(fault.remote)},
                                      {"detail", fault.detail}});
    };
    return callbacks;
}

void node::impl::send(const node_id& to, link_message message)
{
    peers_.with_link(to,
                     [message = std::move(message)](const link_ptr& open)
                     {
                         if (open)
                         {
                             open->send(message);
                         }
                     });
}

void node::impl::on_message(const link_ptr& from, link_message message)
{
    std::visit([&](auto& content) { handle(from, std::move(content)); }, message);
}

void node::impl::handle(const link_ptr& from, call_message call)
{
    const call_id id = call.id;
    inbound_calls_.add(from, id);
    executor_.execute(std::move(call),
                      [this, from, id](const reply_message& reply)
                      {
                          inbound_calls_.remove(from, id);
                          from->send(reply);
                      });
}

void node::impl::handle(const link_ptr& /*from*/, reply_message reply)
{
    router_.on_reply(std::move(reply));
}

void node::impl::handle(const link_ptr& /*from*/, const cancel_message& cancel)
{
    executor_.cancel(cancel.id);
}

void node::impl::handle(const link_ptr& from, const sheet_pull_message& pull)
{
    sheet_sync_->on_pull(from->peer().node, pull);
}

void node::impl::handle(const link_ptr& /*from*/, const sheet_push_message& push)
{
    sheet_sync_->on_push(push);
}

void node::impl::handle(const link_ptr& from, const sheet_delta_message& delta)
{
    sheet_sync_->on_delta(from->peer().node, delta);
}

void node::impl::handle(const link_ptr& from, const demand_report_message& report)
{
    limit_control_.on_demand_report(from->peer().node, report);
}

void node::impl::handle(const link_ptr& from, const share_grant_message& grant)
{
    limit_control_.on_share_grant(from->peer().node, grant);
}

void node::impl::handle(const link_ptr& /*from*/, const strike_message& strike)
{
    quarantine_->on_strike(strike);
}

void node::impl::on_link_closed(const link_ptr& closed)
{
    peers_.on_link_closed(closed->peer().node);
    router_.on_link_closed(closed);
    for (const call_id& id : inbound_calls_.take_all(closed))
    {
        executor_.cancel(id);
    }
}

} // namespace fescueridge
