#include "fescueridge/node/quarantine_sync.hpp"

#include <fmt/format.h>

namespace fescueridge
{

namespace
{

constexpr milliseconds append_timeout{1000};

// A record that could not be appended in five attempts has still been sent to the nodes
// of the service. They append it again after the next crash or completed run of the
// request.
constexpr int append_attempts = 5;

} // namespace

quarantine_sync::quarantine_sync(log_service* log, quarantine_table& suspicions,
                                 const peer_table& peers, background_worker& worker,
                                 event_log& events, sender send)
    : suspicions_(suspicions), peers_(peers), worker_(worker), events_(events),
      send_(std::move(send))
{
    if (log == nullptr)
    {
        return;
    }
    follower_ = std::make_unique<quarantine_follower>(
        *log, follow_options{},
        [this](const quarantine_record& record) { suspicions_.merge(record); },
        [this](const error& problem) {
            events_.record("quarantine_log_fault",
                           {{"reason", std::string(problem.what())}});
        });
}

quarantine_sync::~quarantine_sync()
{
    stop();
}

bool quarantine_sync::log_reachable() const noexcept
{
    return follower_ && follower_->log_reachable();
}

void quarantine_sync::stop()
{
    if (follower_)
    {
        follower_->stop();
    }
}

void quarantine_sync::publish(const service_name& service,
                              const std::vector<quarantine_record>& records)
{
    const std::vector<node_id> nodes = peers_.live_nodes_of(service);
    for (const quarantine_record& record : records)
    {
        events_.record("request_suspected",
                       {{"fingerprint", fmt::format("{:016x}", record.request.get())},
                        {"crashes", static_cast<std::int64_t>(record.crashes.size())},
                        {"cleared", static_cast<std::int64_t>(record.cleared.size())}});
        for (const node_id& node : nodes)
        {
            send_(node, strike_message{record});
        }
        append_to_log(record, append_attempts);
    }
}

void quarantine_sync::append_to_log(const quarantine_record& record, int attempts_left)
{
    if (!follower_ || attempts_left == 0)
    {
        return;
    }
    worker_.post(
        [this, record, attempts_left]
        {
            try
            {
                follower_->append(record, append_timeout);
            }
            catch (const error&)
            {
                append_to_log(record, attempts_left - 1);
            }
        });
}

void quarantine_sync::on_strike(const strike_message& strike)
{
    suspicions_.merge(strike.record);
}

} // namespace fescueridge
