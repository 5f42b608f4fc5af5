#include "fescueridge/node/server_monitor.hpp"

#include <algorithm>

namespace fescueridge
{

server_monitor::server_monitor(
    server_executor& executor, event_log& events,
    std::function<void(const std::function<void(member_record&)>&)> update_member_record)
    : executor_(executor), events_(events),
      update_member_record_(std::move(update_member_record))
{
}

void server_monitor::announce(const server_announcement& server)
{
    server_announcement current = server;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        if (is_delayed(server))
        {
            return;
        }
        if (drain_next_start_ || is_leaving(server.state))
        {
            drain_next_start_ = false;
            drained_start_ = std::max(drained_start_.value_or(server.incarnation_number),
                                      server.incarnation_number);
        }
        if (drained_start_ && server.incarnation_number <= *drained_start_ &&
            !is_leaving(server.state))
        {
            current.state = server_state::draining;
        }
        const bool new_process =
            !server_ || server_->incarnation_number != server.incarnation_number;
        changed = new_process || server_->state != current.state ||
                  server_->slots != current.slots || server_->requires_new_pool(current);
        server_ = current;
        last_heartbeat_ = clock::now();
    }
    if (!changed)
    {
        return;
    }
    executor_.announce(current);
    publish_state(current);
}

// An announcement of an earlier start that arrives late must not replace the later start.
// Once that is gone, the earlier number may come from a clock that was set back.
bool server_monitor::is_delayed(const server_announcement& server) const
{
    return server_ && server_->state != server_state::gone &&
           server.incarnation_number < server_->incarnation_number;
}

void server_monitor::publish_state(const server_announcement& server)
{
    events_.record("server_state", {{"service", server.service.get()},
                                    {"state", std::string(to_string(server.state))}});
    update_member_record_(
        [&](member_record& record)
        {
            record.service = server.service;
            record.state = server.state;
            record.slots = server.slots;
            record.warm_up = server.warm_up;
        });
}

void server_monitor::drain()
{
    std::optional<server_announcement> current;
    {
        const std::lock_guard lock(mutex_);
        drain_next_start_ = !server_;
        if (server_)
        {
            drained_start_ = server_->incarnation_number;
            server_->state = server_state::draining;
        }
        current = server_;
    }
    if (current)
    {
        executor_.announce(*current);
        publish_state(*current);
    }
}

void server_monitor::on_server_crash()
{
    std::optional<server_announcement> current;
    {
        const std::lock_guard lock(mutex_);
        if (!server_ || server_->state == server_state::gone)
        {
            return;
        }
        server_->state = server_state::gone;
        current = server_;
    }
    publish_state(*current);
}

void server_monitor::check_heartbeat()
{
    {
        const std::lock_guard lock(mutex_);
        if (!server_ || server_->state == server_state::gone ||
            clock::now() - last_heartbeat_ < heartbeat_timeout)
        {
            return;
        }
    }
    on_server_crash();
    executor_.remove_server();
}

std::optional<server_announcement> server_monitor::server() const
{
    const std::lock_guard lock(mutex_);
    return server_;
}

} // namespace fescueridge
