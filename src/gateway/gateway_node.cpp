#include "gateway_node_impl.hpp"

#include <asio/post.hpp>

#include "fescueridge/base/error.hpp"
#include "metrics_text.hpp"

namespace fescueridge::gateway
{
namespace
{

constexpr milliseconds poll_interval{50};
constexpr milliseconds shares_interval{100};
constexpr milliseconds decay_interval{1'000};

/// Interval at which one node stores the estimated calls, so that they survive a restart
/// of all nodes.
constexpr milliseconds store_interval{5'000};

/// Announcements that are not acknowledged within a second are repeated.
constexpr milliseconds max_acknowledgement_delay{900};

/// Maximum number of concurrent requests on one client connection.
constexpr std::size_t max_pipelined_requests = 16;

} // namespace

gateway_node::impl::impl(asio::io_context& io, node_settings settings,
                         const wire_format& wire, keyed_log& log)
    : io_(io), settings_(std::move(settings)), service_(settings_.service), wire_(wire),
      log_(log), events_(settings_.node, incarnation(random_seed())),
      decisions_(io, settings_.node),
      executor_(io, settings_, wire, decisions_,
                {[this] { schedule_report(); },
                 [this](const suspect_message& suspect) { peers_.broadcast(suspect); },
                 [this](const departed_start& departure)
                 {
                     departures_.store(departure);
                 }}),
      peers_(io, settings_, events_, decisions_, make_peer_callbacks()),
      router_(io, settings_, wire, decisions_, peers_, executor_),
      records_(io, settings_, log, decisions_, peers_.self(), make_cluster_callbacks()),
      departures_(settings_, log, decisions_,
                  [this](const std::vector<departed_start>& stored)
                  { executor_.on_stored_departures(stored); }),
      client_bytes_(std::make_shared<byte_account>(settings_.process.client_bytes())),
      stop_schedule_(stop_schedule::for_grace(settings_.bounds.grace))
{
    events_.echo(false);
    http_server_options request_server_options;
    request_server_options.max_pipelined = max_pipelined_requests;
    request_server_options.account = client_bytes_;
    request_server_options.max_connections = settings_.process.client_connections();
    request_server_options.on_fault = [this](const http_fault& fault)
    {
        ++client_faults_[fault.kind];
        if (decisions_.should_log(log_category::failure, {}))
            decisions_.record(log_event::request_unreadable,
                              {{"cause", std::string(to_string(fault.kind))},
                               {"peer", to_string(fault.peer)},
                               {"detail", fault.detail}},
                              log_category::failure);
    };
    request_server_ = std::make_unique<http_server>(
        io, settings_.listen_requests,
        [this](http_request request, std::shared_ptr<http_exchange> exchange)
        { router_.handle(std::move(request), std::move(exchange)); },
        request_server_options);
    ready_server_ = std::make_unique<http_server>(
        io, settings_.listen_ready,
        [this](const http_request& request,
               const std::shared_ptr<http_exchange>& exchange)
        { handle_readiness(request, *exchange); },
        control_server_options());
    announcement_server_ = std::make_unique<http_server>(
        io, settings_.listen_announcements,
        [this](const http_request& request,
               const std::shared_ptr<http_exchange>& exchange)
        { handle_announcement(request, exchange); },
        control_server_options());
    peers_.start();
    start_following();
    run_every(poll_interval,
              [this]
              {
                  executor_.poll();
                  departures_.poll(clock::now());
                  router_.quotas().poll(records_.nodes_listed());
                  check_stop();
              });
    run_every(store_interval, [this] { store_call_edges(); });
    run_every(shares_interval, [this] { router_.update_shares(); });
    run_every(poll_interval, [this] { send_report(); });
    run_every(decay_interval, [this] { executor_.decay_call_graph(); });
    decisions_.record(log_event::node_started,
                      {{"domain", settings_.domain.get()},
                       {"service", settings_.service.get()},
                       {"entry", to_string(settings_.listen_requests)}});
}

// Readiness and announcements come from a few peers and need little room.
http_server_options gateway_node::impl::control_server_options() const
{
    constexpr std::size_t max_control_connections = 64;
    constexpr message_limits small_messages{max_header_bytes, std::size_t{64} * 1024};
    http_server_options options;
    options.limits = small_messages;
    options.max_connections = max_control_connections;
    return options;
}

void gateway_node::impl::run_every(milliseconds interval, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timers_.push_back(timer);
    auto start_timer = std::make_shared<std::function<void()>>();
    *start_timer = [this, interval, timer, action = std::move(action),
                    weak = std::weak_ptr<std::function<void()>>(start_timer)]
    {
        const auto self = weak.lock();
        timer->expires_after(interval);
        timer->async_wait(
            [this, action, self](asio::error_code ec)
            {
                if (ec || finished_)
                    return;
                action();
                if (!finished_)
                    (*self)();
            });
    };
    (*start_timer)();
}

cluster_callbacks gateway_node::impl::make_cluster_callbacks()
{
    cluster_callbacks callbacks;
    callbacks.on_node = [this](const node_record& node)
    {
        peers_.update_node(node);
    };
    callbacks.on_node_removed = [this](const node_id& node)
    {
        peers_.remove_node(node);
    };
    callbacks.on_call_edges = [this](const std::vector<call_edge>& edges)
    {
        router_.set_initial_calls(edges);
        executor_.set_initial_calls(edges);
    };
    return callbacks;
}

void gateway_node::impl::start_following()
{
    topic_callbacks config_callbacks;
    config_callbacks.on_record = [this](const keyed_record& record)
    {
        if (record.key == settings_.config_key && !record.value.empty())
            apply_config(record.value, "log");
    };
    config_callbacks.on_probe_answered = [this]
    {
        schedule_report();
    };
    config_follower_ = std::make_shared<topic_follower>(
        io_, log_, decisions_, settings_.config_topic, std::move(config_callbacks),
        read_delay{}, freshness::probe_timing::for_config(settings_.bounds.config_apply));
    router_.set_config_age([this] { return config_follower_->unconfirmed_for(); });
    log_.on_restored([this] { on_log_restored(); });
    config_follower_->start();
    records_.start();
    departures_.start();
}

// The configuration in force stays: versions that are not newer are ignored.
void gateway_node::impl::on_log_restored()
{
    if (finished_)
        return;
    decisions_.record(log_event::log_restored);
    config_follower_->restart();
    records_.on_log_restored();
    departures_.on_log_restored();
}

void gateway_node::impl::set_service(const service_name& service)
{
    if (service == service_)
        return;
    service_ = service;
    executor_.set_service(service);
    router_.set_caller(service);
    configure_executor();
}

// Only the linked node with the lowest name writes.
void gateway_node::impl::store_call_edges()
{
    if (router_.calls().empty() || stopping_since_)
        return;
    for (const auto& [node, other] : peers_.all())
        if (other.connection && node < settings_.node)
            return;
    records_.write_call_edges(router_.calls());
}

void gateway_node::impl::handle_readiness(const http_request& request,
                                          http_exchange& exchange)
{
    constexpr std::string_view metrics_path = "/metrics";
    const std::string& target = request.target;
    if (target.size() >= metrics_path.size() &&
        target.compare(target.size() - metrics_path.size(), std::string::npos,
                       metrics_path) == 0)
        return exchange.respond(
            {200,
             {{"Content-Type", "text/plain; version=0.0.4"}},
             metrics_text(
                 router_, executor_, peers_, decisions_,
                 config_status{table_.get(), unusable_version_, unusable_configs_},
                 log_status{config_follower_->unconfirmed_for(),
                            config_follower_->skipped() + records_.skipped(),
                            departures_.waiting()},
                 client_status{client_bytes_->used(), client_bytes_->peak(),
                               request_server_->open_connections(), client_faults_})});
    const bool ready = table_ && !stopping_since_;
    exchange.respond({ready ? 200 : 503,
                      {{"Content-Type", "text/plain"}},
                      (ready ? "ready\n" : "not ready\n") + describe_config()});
}

void gateway_node::impl::handle_announcement(
    const http_request& request, const std::shared_ptr<http_exchange>& exchange)
{
    try
    {
        const auto announcement = wire_.read_announcement(request);
        const auto change = executor_.on_announcement(announcement);
        if (change == server_change::foreign)
            return reject_announcement("names another service", *exchange);
        if (states_leaving(announcement))
            return acknowledge_departure(exchange);
        exchange->respond(wire_.make_acknowledgement());
    }
    catch (const codec_error& error)
    {
        reject_announcement(error.what(), *exchange);
    }
}

// An acknowledged departure binds whatever becomes of the processes, so it is stored
// first. The server repeats an announcement that is not acknowledged.
void gateway_node::impl::acknowledge_departure(
    const std::shared_ptr<http_exchange>& exchange)
{
    departures_.when_stored(
        max_acknowledgement_delay,
        [this, exchange](bool stored)
        {
            constexpr int unavailable = 503;
            exchange->respond(stored ? wire_.make_acknowledgement()
                                     : http_response{unavailable,
                                                     {{"Content-Type", "text/plain"}},
                                                     "departure not stored\n"});
        });
}

void gateway_node::impl::reject_announcement(const std::string& detail,
                                             http_exchange& exchange)
{
    decisions_.record(log_event::announcement_unusable, {{"detail", detail}});
    exchange.respond({400, {{"Content-Type", "text/plain"}}, "unusable\n"});
}

node_report_message gateway_node::impl::make_report(bool with_learned)
{
    node_report_message report;
    report.version = version_in_force();
    report.config_unconfirmed_for = config_follower_->unconfirmed_for();
    executor_.fill_report(report);
    report.arrivals = router_.arrivals();
    if (with_learned)
        executor_.add_learned(report);
    return report;
}

void gateway_node::impl::send_report()
{
    const auto due = report_schedule_.poll(clock::now(), peers_.linked_count());
    if (due)
        peers_.broadcast(make_report(due->with_learned));
}

// Posts the report so that simultaneous changes are sent as one report.
void gateway_node::impl::schedule_report()
{
    if (std::exchange(report_pending_, true))
        return;
    asio::post(io_,
               [this]
               {
                   report_pending_ = false;
                   if (!finished_)
                       peers_.broadcast(make_report(false));
               });
}

void gateway_node::impl::log_settings_reload(bool usable, const std::string& detail)
{
    decisions_.record(usable ? log_event::settings_reloaded
                             : log_event::settings_unusable,
                      {{"detail", detail}});
}

gateway_node::gateway_node(asio::io_context& io, node_settings settings,
                           const wire_format& wire, keyed_log& log)
    : impl_(std::make_unique<impl>(io, std::move(settings), wire, log))
{
}

gateway_node::~gateway_node() = default;

void gateway_node::stop()
{
    impl_->stop();
}

void gateway_node::set_service(const service_name& service)
{
    impl_->set_service(service);
}

void gateway_node::log_settings_reload(bool usable, const std::string& detail)
{
    impl_->log_settings_reload(usable, detail);
}

} // namespace fescueridge::gateway
