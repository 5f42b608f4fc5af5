#include "fescueridge/node/node.hpp"

#include <algorithm>
#include <thread>

#include "fescueridge/overload/rendezvous.hpp"
#include "node_impl.hpp"
#include "periodic_timer.hpp"

namespace fescueridge
{

namespace
{

constexpr milliseconds sheet_sync_interval{200};
constexpr milliseconds redial_interval{500};
constexpr milliseconds maintenance_interval{1000};
constexpr milliseconds contacts_write_interval{std::chrono::minutes{5}};
constexpr milliseconds first_contacts_write_delay{3000};
constexpr std::size_t contact_writers_per_domain = 3;
constexpr std::size_t max_contacts_per_record = 8;
constexpr milliseconds log_timeout{1000};
constexpr milliseconds drain_poll_interval{20};

// Time for the replies to recalled calls to arrive from nodes in other failure domains.
constexpr milliseconds recall_timeout{500};

// Time to write the last responses to their sockets after the last call has ended.
constexpr milliseconds response_flush_delay{100};

incarnation new_incarnation()
{
    random_engine random(random_seed());
    return make_incarnation(wall_clock_ms(), random);
}

std::unique_ptr<log_service> make_log(const node_settings& settings)
{
    if (!settings.log_service)
    {
        return nullptr;
    }
    return std::make_unique<http_log_service>(*settings.log_service);
}

/// Calls `open` to open a port. Converts an address_error to a listen_error with `key`.
template <class Open>
auto open_port(const char* key, Open open)
{
    try
    {
        return open();
    }
    catch (const address_error& problem)
    {
        throw listen_error(key, problem.what());
    }
}

} // namespace

node::impl::impl(const node_settings& settings)
    : settings_(settings), incarnation_(new_incarnation()),
      events_(settings.node, incarnation_), io_(static_cast<int>(settings.threads)),
      work_guard_(asio::make_work_guard(io_)), log_(make_log(settings)),
      refusals_(settings.node, settings.domain, sheets_),
      ids_(settings.node, incarnation_), peers_(settings.node, settings.domain),
      executor_(make_executor_dependencies()),
      monitor_(executor_, events_, [this](const auto& edit) { update_own_record(edit); }),
      router_(make_router_dependencies()),
      limit_control_(settings.node, settings.domain, peers_, sheets_,
                     [this](const node_id& to, link_message message)
                     { send(to, std::move(message)); }),
      call_ports_(make_call_port_dependencies())
{
    const auto sender = [this](const node_id& to, link_message message)
    {
        send(to, std::move(message));
    };
    const auto hello = [this]
    {
        return hello_message{settings_.node, incarnation_, settings_.domain,
                             sheets_.version()};
    };
    hub_ =
        open_port("listen.link",
                  [&]
                  {
                      return std::make_unique<link_hub>(io_, settings_.listen_link, hello,
                                                        events_, make_link_callbacks());
                  });
    peers_.set_link_hub(*hub_);
    const gossip_callbacks on_gossip{
        [this](const auto& changes) { on_member_changes(changes); },
        [this](const endpoint& from, const std::string& reason)
        {
            events_.record("gossip_malformed",
                           {{"from", to_string(from)}, {"reason", reason}});
        }};
    gossip_ = open_port("listen.gossip",
                        [&]
                        {
                            return std::make_unique<gossip_udp>(
                                io_, make_own_record(), settings_.contacts, on_gossip,
                                gossip_options{}, settings_.listen_gossip);
                        });
    refresh_peers();
    http_server_options options;
    options.on_fault = [this](const http_fault& fault)
    {
        events_.record("http_fault", {{"kind", std::string(to_string(fault.kind))},
                                      {"peer", to_string(fault.peer)},
                                      {"detail", fault.detail}});
    };
    const auto serve_http = [&](const endpoint& listen, auto handler)
    {
        return std::make_unique<http_server>(io_, listen, std::move(handler), options);
    };
    caller_port_ = open_port(
        "listen.caller",
        [&]
        {
            options.account = std::make_shared<byte_account>(settings_.caller_bytes);
            options.max_connections = settings_.caller_connections;
            return serve_http(
                settings_.listen_caller,
                [this](http_request request,
                       const std::shared_ptr<http_exchange>& exchange)
                { call_ports_.on_caller_request(std::move(request), exchange); });
        });
    server_port_ =
        open_port("listen.server",
                  [&]
                  {
                      // The own backend server keeps to its limits.
                      options.account = nullptr;
                      options.max_connections = 0;
                      return serve_http(
                          settings_.listen_server,
                          [this](http_request request,
                                 const std::shared_ptr<http_exchange>& exchange) {
                              call_ports_.on_server_request(std::move(request), exchange);
                          });
                  });
    operator_port_ =
        open_port("listen.operator",
                  [&]
                  {
                      return std::make_unique<operator_port>(settings_.listen_operator,
                                                             make_operator_functions());
                  });
    // Created after the ports, so that a port in use is reported before the log service
    // is contacted.
    quarantine_ = std::make_unique<quarantine_sync>(log_.get(), suspicions_, peers_,
                                                    worker_, events_, sender);
    sheet_sync_ = std::make_unique<sheet_sync>(
        settings_.node, settings_.domain, log_.get(), settings_.log_retention, peers_,
        sheets_, events_, sender,
        [this](sheet_version version)
        {
            limit_control_.clear();
            update_own_record([&](member_record& record) { record.sheet = version; });
            update_claim_client();
        });
    operator_port_->start();
}

node::impl::~impl()
{
    io_.stop();
}

executor_dependencies node::impl::make_executor_dependencies()
{
    return executor_dependencies{io_,
                                 sheets_,
                                 refusals_,
                                 calls_,
                                 suspicions_,
                                 events_,
                                 [this](const std::vector<quarantine_record>& records)
                                 {
                                     if (const auto server = monitor_.server())
                                     {
                                         quarantine_->publish(server->service, records);
                                     }
                                 },
                                 [this] { monitor_.on_server_crash(); },
                                 settings_.control};
}

router_dependencies node::impl::make_router_dependencies()
{
    return router_dependencies{io_,       settings_.node,   peers_, executor_,
                               pressure_, budget_,          ids_,   refusals_,
                               events_,   settings_.control};
}

call_port_dependencies node::impl::make_call_port_dependencies()
{
    return call_port_dependencies{sheets_,
                                  refusals_,
                                  router_,
                                  calls_,
                                  pressure_,
                                  ledger_,
                                  marks_,
                                  limit_control_,
                                  ids_,
                                  events_,
                                  [this]
                                  {
                                      return unavailability_reason();
                                  }};
}

member_record node::impl::make_own_record() const
{
    member_record record;
    record.node = settings_.node;
    record.incarnation_number = incarnation_;
    record.link = settings_.advertised_link;
    record.operator_port = settings_.listen_operator;
    record.gossip = settings_.advertised_gossip;
    record.domain = settings_.domain;
    record.region = settings_.region;
    return record;
}

std::optional<refusal_reason> node::impl::unavailability_reason() const
{
    if (stopping_ || gossip_->superseded())
    {
        return refusal_reason::shutting_down;
    }
    if (!sheet_sync_->ready())
    {
        return refusal_reason::no_sheet;
    }
    return std::nullopt;
}

void node::impl::start_timers()
{
    using detail::periodic_timer;
    periodic_timer::start(io_, level_interval, [this] { executor_.update_level(); });
    periodic_timer::start(io_, sheet_sync_interval, [this] { sheet_sync_->tick(); });
    periodic_timer::start(io_, redial_interval, [this] { peers_.redial_lost_links(); });
    periodic_timer::start(io_, demand_report_interval,
                          [this] { limit_control_.report_demand(); });
    periodic_timer::start(io_, domain_exchange_interval,
                          [this] { limit_control_.exchange_domain_demand(); });
    periodic_timer::start(io_, maintenance_interval, [this] { run_maintenance(); });
    periodic_timer::start(io_, contacts_write_interval,
                          [this] { write_contacts_if_chosen(); });
    auto first_write_timer =
        std::make_shared<asio::steady_timer>(io_, first_contacts_write_delay);
    first_write_timer->async_wait(
        [this, first_write_timer](const asio::error_code& error)
        {
            if (!error)
            {
                write_contacts_if_chosen();
            }
        });
}

void node::impl::run_maintenance()
{
    const time_point now = clock::now();
    ledger_.expire(now);
    pressure_.expire(now);
    suspicions_.expire(wall_clock_ms());
    monitor_.check_heartbeat();
    update_claim_client();
}

void node::impl::update_claim_client()
{
    const auto server = monitor_.server();
    const auto snapshot = sheets_.get();
    if (!log_ || !server || !snapshot)
    {
        return;
    }
    const auto& rules = snapshot->rules->rules();
    const bool needed =
        std::any_of(rules.begin(), rules.end(),
                    [&](const rule& entry)
                    { return entry.at_most_once && entry.service == server->service; });
    const auto remember_time =
        milliseconds(std::chrono::hours(24) * snapshot->rules->settings().remember_days);
    const std::lock_guard lock(claim_client_mutex_);
    if (claim_client_)
    {
        claim_client_->set_remember_time(remember_time);
        return;
    }
    if (!needed)
    {
        return;
    }
    claim_client_options options;
    options.service = server->service;
    options.node = incarnation_;
    options.remember_time = remember_time;
    options.retention = settings_.log_retention;
    claim_client_ = std::make_shared<claim_client>(
        *log_, options,
        [this](const std::string& name, const std::string& reason) {
            events_.record(name, {{"reason", reason}});
        });
    executor_.set_claim_client(claim_client_);
}

void node::impl::write_contacts_if_chosen()
{
    if (!log_)
    {
        return;
    }
    const auto writers =
        choose_by_rendezvous("contact-writers", peers_.live_nodes(settings_.domain),
                             contact_writers_per_domain);
    if (std::find(writers.begin(), writers.end(), settings_.node) == writers.end())
    {
        return;
    }
    std::vector<contact> contacts;
    for (const member_view& member : peers_.members())
    {
        if (member.record.domain == settings_.domain &&
            member.status == liveness::alive && contacts.size() < max_contacts_per_record)
        {
            contacts.push_back({member.record.domain, member.record.gossip});
        }
    }
    worker_.post(
        [this, contacts]
        {
            try
            {
                write_contacts(*log_, contacts, log_timeout);
            }
            catch (const error& problem)
            {
                events_.record("contacts_not_written",
                               {{"reason", std::string(problem.what())}});
            }
        });
}

void node::impl::load_contacts()
{
    if (!log_)
    {
        return;
    }
    worker_.post(
        [this]
        {
            try
            {
                std::vector<endpoint> addresses;
                for (const contact& known : read_latest_contacts(*log_, log_timeout))
                {
                    addresses.push_back(known.gossip);
                }
                gossip_->add_contacts(addresses);
            }
            catch (const error& problem)
            {
                events_.record("contacts_not_read",
                               {{"reason", std::string(problem.what())}});
            }
        });
}

void node::impl::update_own_record(const std::function<void(member_record&)>& edit)
{
    gossip_->update_self(edit);
    refresh_peers();
}

void node::impl::refresh_peers()
{
    peers_.update(gossip_->self(), gossip_->members());
}

void node::impl::on_member_changes(const std::vector<member_change>& changes)
{
    // Changes of sheet versions are not recorded as events. Otherwise each new sheet
    // would add one event per member to the event log.
    if (peers_.update_sheet_versions(changes))
    {
        return;
    }
    refresh_peers();
    for (const member_change& change : changes)
    {
        events_.record("member_" + std::string(to_string(change.kind)),
                       {{"member", change.member.record.node.get()},
                        {"domain", change.member.record.domain.get()}});
        if (change.kind == change_kind::duplicate_id)
        {
            // Another node has the same id. Nodes with an open link to this one may still
            // send it calls for that id.
            executor_.drain();
        }
    }
}

std::size_t node::impl::in_flight() const
{
    return executor_.in_flight() + router_.pending_attempts() +
           caller_port_->open_exchanges() + server_port_->open_exchanges();
}

void node::impl::drain_calls()
{
    monitor_.drain();
    executor_.drain();
    wait_until_idle(settings_.drain_timeout);
    events_.record("drained", {{"left", static_cast<std::int64_t>(in_flight())}});
    if (in_flight() > 0)
    {
        end_open_calls();
    }
    std::this_thread::sleep_for(response_flush_delay);
}

void node::impl::wait_until_idle(milliseconds timeout) const
{
    const time_point deadline = clock::now() + timeout;
    while (in_flight() > 0 && clock::now() < deadline)
    {
        std::this_thread::sleep_for(drain_poll_interval);
    }
}

// A connection that closes without an answer tells its caller nothing, and a call that
// still waits in a queue has not run.
void node::impl::end_open_calls()
{
    executor_.refuse_waiting();
    router_.recall_all();
    wait_until_idle(recall_timeout);
    router_.end_all();
}

void node::impl::close_ports()
{
    operator_port_->stop();
    caller_port_->close();
    server_port_->close();
    hub_->close();
    gossip_->stop();
    {
        const std::lock_guard lock(claim_client_mutex_);
        if (claim_client_)
        {
            claim_client_->stop();
        }
    }
    quarantine_->stop();
    sheet_sync_->stop();
    worker_.stop();
}

void node::impl::run()
{
    gossip_->start();
    load_contacts();
    start_timers();
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < settings_.threads; ++i)
    {
        threads.emplace_back([this] { io_.run(); });
    }
    events_.record("node_started", {{"domain", settings_.domain.get()}});
    {
        std::unique_lock lock(stop_mutex_);
        stop_requested_.wait(lock, [this] { return stopping_.load(); });
    }
    events_.record("node_stopping");
    caller_port_->stop_accepting();
    drain_calls();
    close_ports();
    io_.stop();
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    events_.record("node_stopped");
}

void node::impl::request_stop()
{
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
    stop_requested_.notify_all();
}

node::node(const node_settings& settings) : impl_(std::make_unique<impl>(settings)) {}

node::~node() = default;

void node::run()
{
    impl_->run();
}

void node::request_stop()
{
    impl_->request_stop();
}

} // namespace fescueridge
