#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>

#include "fescueridge/log_service/http_log_service.hpp"
#include "fescueridge/membership/gossip_udp.hpp"
#include "fescueridge/node/background_worker.hpp"
#include "fescueridge/node/call_ports.hpp"
#include "fescueridge/node/inbound_calls.hpp"
#include "fescueridge/node/limit_control.hpp"
#include "fescueridge/node/node.hpp"
#include "fescueridge/node/operator_port.hpp"
#include "fescueridge/node/quarantine_sync.hpp"
#include "fescueridge/node/server_executor.hpp"
#include "fescueridge/node/server_monitor.hpp"
#include "fescueridge/node/sheet_sync.hpp"
#include "fescueridge/state/claim_client.hpp"
#include "fescueridge/state/contacts_log.hpp"
#include "fescueridge/transport/http_server.hpp"
#include "fescueridge/transport/link_hub.hpp"

namespace fescueridge
{

/// Owns the components of a node and connects them.
class node::impl
{
public:
    explicit impl(const node_settings& settings);
    ~impl();

    void run();
    void request_stop();

private:
    // Construction.
    executor_dependencies make_executor_dependencies();
    router_dependencies make_router_dependencies();
    call_port_dependencies make_call_port_dependencies();
    link_callbacks make_link_callbacks();
    operator_functions make_operator_functions();
    member_record make_own_record() const;
    void start_timers();

    // Links and members.
    void send(const node_id& to, link_message message);
    void on_message(const link_ptr& from, link_message message);
    void handle(const link_ptr& from, call_message call);
    void handle(const link_ptr& from, reply_message reply);
    void handle(const link_ptr& from, const cancel_message& cancel);
    void handle(const link_ptr& from, const sheet_pull_message& pull);
    void handle(const link_ptr& from, const sheet_push_message& push);
    void handle(const link_ptr& from, const sheet_delta_message& delta);
    void handle(const link_ptr& from, const demand_report_message& report);
    void handle(const link_ptr& from, const share_grant_message& grant);
    void handle(const link_ptr& from, const strike_message& strike);
    template <class Message>
    void handle(const link_ptr& /*from*/, const Message& /*message*/)
    {
        // The link hub handles hello, ping and pong messages.
    }
    void on_link_closed(const link_ptr& closed);
    void on_member_changes(const std::vector<member_change>& changes);
    void refresh_peers();
    void update_own_record(const std::function<void(member_record&)>& edit);

    // Control loops.
    void run_maintenance();
    void update_claim_client();
    void write_contacts_if_chosen();
    void load_contacts();

    // Operator port.
    status_view status() const;
    std::vector<domain_view> domain_views() const;
    members_view members() const;
    pressure_view pressure() const;
    submit_result submit(const submit_request& request);
    drain_result drain();
    std::string metrics() const;

    std::optional<refusal_reason> unavailability_reason() const;
    std::size_t in_flight() const;
    void drain_calls();
    void wait_until_idle(milliseconds timeout) const;
    void end_open_calls();
    void close_ports();

    const node_settings settings_;
    const incarnation incarnation_;
    event_log events_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    std::atomic<bool> stopping_{false};
    std::mutex stop_mutex_;
    std::condition_variable stop_requested_;
    std::unique_ptr<log_service> log_;
    sheet_holder sheets_;
    refusal_maker refusals_;
    id_generator ids_;
    call_table calls_;
    pressure_table pressure_;
    root_ledger ledger_;
    recent_refusals marks_;
    retry_budget budget_;
    quarantine_table suspicions_;
    peer_table peers_;
    inbound_calls inbound_calls_;
    background_worker worker_;
    server_executor executor_;
    server_monitor monitor_;
    call_router router_;
    limit_control limit_control_;
    call_ports call_ports_;
    std::mutex claim_client_mutex_;
    std::shared_ptr<claim_client> claim_client_;
    std::unique_ptr<quarantine_sync> quarantine_;
    std::unique_ptr<sheet_sync> sheet_sync_;
    std::unique_ptr<link_hub> hub_;
    std::unique_ptr<gossip_udp> gossip_;
    std::unique_ptr<http_server> caller_port_;
    std::unique_ptr<http_server> server_port_;
    std::unique_ptr<operator_port> operator_port_;
};

} // namespace fescueridge
