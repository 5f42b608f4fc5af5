#pragma once

#include "fescueridge/gateway/gateway_node.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "fescueridge/gateway/cluster_records.hpp"
#include "fescueridge/gateway/departure_records.hpp"
#include "fescueridge/gateway/report_schedule.hpp"
#include "fescueridge/gateway/request_router.hpp"
#include "fescueridge/gateway/stop_schedule.hpp"
#include "fescueridge/gateway/topic_follower.hpp"

namespace fescueridge::gateway
{

/// State of a gateway node, which connects its parts. gateway_node.cpp has its start,
/// gateway_node_config.cpp its configuration, gateway_node_peers.cpp what other nodes
/// send, gateway_node_stop.cpp its end.
class gateway_node::impl
{
public:
    impl(asio::io_context& io, node_settings settings, const wire_format& wire,
         keyed_log& log);

    void stop();
    void log_settings_reload(bool usable, const std::string& detail);
    void set_service(const service_name& service);

private:
    using timer_ptr = std::shared_ptr<asio::steady_timer>;

    http_server_options control_server_options() const;
    void run_every(milliseconds interval, std::function<void()> action);
    peer_callbacks make_peer_callbacks();
    cluster_callbacks make_cluster_callbacks();
    void start_following();
    void on_log_restored();

    void configure_executor();
    void apply_config(const std::string& content, const std::string& source);
    config_version version_in_force() const;
    std::optional<routing_config> read_newer_config(const std::string& content,
                                                    const std::string& source);
    void log_unusable_config(const std::string& source, config_version version,
                             const char* detail);
    void log_config(const routing_config& config, const std::string& source);
    std::string describe_config() const;
    void store_call_edges();

    void handle_readiness(const http_request& request, http_exchange& exchange);
    void handle_announcement(const http_request& request,
                             const std::shared_ptr<http_exchange>& exchange);
    void acknowledge_departure(const std::shared_ptr<http_exchange>& exchange);
    void reject_announcement(const std::string& detail, http_exchange& exchange);

    void on_forward(const link_ptr& from, forward_message message);
    void send_reply(const link_ptr& to, const forward_reply_message& reply);
    void on_cancel(const link_ptr& from, std::uint64_t number);
    void on_recall(const link_ptr& from, std::uint64_t number);
    void on_link_closed(const link_ptr& closed);
    void on_report(const peer& from);

    node_report_message make_report(bool with_learned);
    void send_report();
    void schedule_report();
    void check_stop();
    void finish_stop();

    asio::io_context& io_;
    const node_settings settings_;
    service_name service_; ///< Of this VM; the settings may change it.
    const wire_format& wire_;
    keyed_log& log_;
    event_log events_;
    decision_log decisions_;
    run_executor executor_;
    peers peers_;
    request_router router_;
    cluster_records records_;
    departure_records departures_;
    std::shared_ptr<byte_account> client_bytes_;
    std::map<http_fault_kind, std::uint64_t> client_faults_;
    std::unique_ptr<http_server> request_server_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> announcement_server_;
    std::shared_ptr<topic_follower> config_follower_;
    std::shared_ptr<const route_table> table_;
    std::string config_text_;
    /// The newest version of which no part can be applied, if newer than the table's.
    config_version unusable_version_;
    std::uint64_t unusable_configs_ = 0; ///< Records that could not be applied.
    std::map<std::pair<link*, std::uint64_t>, run_number> remote_runs_;
    std::vector<timer_ptr> timers_;
    report_schedule report_schedule_{clock::now()};
    bool report_pending_ = false;
    time_point next_config_pull_{};
    const stop_schedule stop_schedule_;
    std::optional<time_point> stopping_since_;
    bool finished_ = false;
};

} // namespace fescueridge::gateway
