#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/random.hpp"
#include "fescueridge/base/server_state.hpp"
#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// State of a backend server according to membership and its link.
struct server_info
{
    node_id node;
    domain_name domain;
    server_state state = server_state::ready;
    slot_count slots{1};
    incarnation server_incarnation; ///< A change restarts the warm-up.
    milliseconds warm_up{10'000};   ///< Announced warm-up time; 0 for none.
    bool link_up = true;
};

/// Identifies a started call within a balancer.
using started_call_id = strong_type<std::uint64_t, struct started_call_tag>;

/// State of a server in the balancer, for the operator port and tests.
struct balancer_server_status
{
    node_id node;
    std::uint32_t in_flight = 0;
    std::chrono::microseconds latency{0};
    bool straggler = false;
    double weight = 0;
};

/// Selects backend servers for the calls of one service. Thread safe.
class backend_server_balancer
{
public:
    explicit backend_server_balancer(domain_name own_domain);
    ~backend_server_balancer();
    backend_server_balancer(const backend_server_balancer&) = delete;
    backend_server_balancer& operator=(const backend_server_balancer&) = delete;

    /// Replaces the list of servers. Keeps the measurements of servers that are still
    /// listed.
    void update(const std::vector<server_info>& members, time_point now);

    /// Returns the server for the next call, or nothing if no server is usable.
    std::optional<node_id> choose(time_point now, random_engine& random,
                                  const std::vector<node_id>& exclude = {});

    /// Records that a call was sent to a server. The returned id is passed to on_finish.
    started_call_id on_start(const node_id& node, time_point now);

    /// Records the end of a call, with its latency since on_start. A call that ended
    /// `not_run` is not sampled. A failed call, or one cancelled with the reason
    /// `cancelled`, is sampled only if it took longer than the mean latency so far.
    void on_finish(const node_id& node, started_call_id call,
                   std::chrono::microseconds latency, outcome result,
                   std::optional<refusal_reason> reason, time_point now);

    /// Records a refusal, in addition to on_finish. After `draining`, `server_gone` or
    /// `shutting_down` the server is excluded for 1 s, or until an update with a new
    /// state or incarnation. After `overload` or `deadline` it is chosen less often.
    void on_refused(const node_id& node, refusal_reason reason, time_point now);

    /// Excludes the server until an update reports its link as up.
    void on_link_broken(const node_id& node, time_point now);

    /// Returns the time after which a call may be hedged: the 95th percentile of the
    /// service's recent latency, or nothing with fewer than 20 samples.
    std::optional<milliseconds> hedge_delay(time_point now) const;

    /// Returns the number of connections to keep open to a server: its peak of calls in
    /// flight in the last 10 to 20 s, at least 1.
    std::uint32_t pool_size_target(const node_id& node, time_point now) const;

    /// Returns the state of all servers.
    std::vector<balancer_server_status> server_statuses(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fescueridge
