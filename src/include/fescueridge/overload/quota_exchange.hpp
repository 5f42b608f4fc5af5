#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "fescueridge/base/clock.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/overload/limits.hpp"
#include "fescueridge/overload/quota_limit.hpp"

namespace fescueridge
{

/// A node that takes part in the division of quotas.
struct quota_member
{
    node_id node;
    domain_name domain;

    friend bool operator==(const quota_member& a, const quota_member& b)
    {
        return a.node == b.node && a.domain == b.domain;
    }
};

/// Returns the nodes that create the tokens of a quota, in equal parts: up to two of each
/// failure domain, chosen by rendezvous hashing, and fewer for a quota whose burst would
/// leave them less than a token each. All nodes with the same members choose the same.
std::vector<quota_member> choose_quota_homes(const quota_name& quota,
                                             const quota_limit& limit,
                                             const std::vector<quota_member>& members);

/// The part of a quota that one home creates: tokens come at a rate and are kept up to a
/// capacity. Not thread safe.
class quota_part
{
public:
    /// The part is empty at `now`.
    quota_part(const quota_limit& part, time_point now) : part_(part), filled_at_(now) {}

    /// Changes the rate and capacity. Tokens beyond the new capacity are dropped.
    void set(const quota_limit& part, time_point now);

    /// Takes up to `wanted` whole tokens and returns their number.
    std::uint32_t take(std::uint32_t wanted, time_point now);

    /// Returns the time until there is a whole token.
    milliseconds time_to_token(time_point now);

private:
    void fill(time_point now);

    quota_limit part_;
    double tokens_ = 0;
    time_point filled_at_;
};

/// Identifies a request that waits for a token; chosen by the caller.
using quota_waiter = strong_type<std::uint64_t, struct quota_waiter_tag>;

/// The request may begin and has taken a token.
struct quota_admitted
{
};
/// The request waits for a token; quota_outputs names it once it is decided.
struct quota_waiting
{
};
/// No home has a token before this time has passed.
struct quota_refused
{
    milliseconds retry_after{0};
};
using quota_decision = std::variant<quota_admitted, quota_waiting, quota_refused>;

/// What the caller must do after a call to quota_exchange.
struct quota_outputs
{
    struct ask
    {
        node_id to;
        quota_ask_message message;
    };
    struct outcome
    {
        quota_waiter waiter;
        quota_decision decision; ///< Admitted or refused.
    };
    std::vector<ask> asks;
    std::vector<outcome> decided;
};

/// Counts of one quota at one node, for metrics.
struct quota_counters
{
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t returned = 0; ///< Tokens of requests that did not run.
};

/// A node's part in the enforcement of quotas over all nodes. Handles callers that share
/// a quota and send through any mix of nodes.
///
/// The homes of a quota create its tokens. A node that needs tokens asks a home, which
/// takes them out of its part before it grants them. A token therefore exists at one
/// place at a time, or is lost with a message or a process: whatever is cut, paused,
/// killed or late, the requests admitted in a window are at most the tokens that existed
/// at its start and those created in it. No clock of another node enters into this.
///
/// Makes decisions only: the caller sends the messages and passes the time. Not thread
/// safe.
class quota_exchange
{
public:
    /// `slack` is the number of requests beyond a quota that the deployment tolerates;
    /// the homes keep up to half of it. `is_reachable` tells whether a node can be asked
    /// now.
    quota_exchange(quota_member self, double slack,
                   std::function<bool(const node_id&)> is_reachable);

    /// Sets the nodes, including this one, that are known to exist. A node that cannot be
    /// reached keeps its part. Parts are created from a second after the first call.
    void set_members(std::vector<quota_member> members, time_point now);

    /// Sets the quotas in force. Without an entry, a quota does not limit anything.
    void set_limits(std::map<quota_name, quota_limit> limits, time_point now);

    bool has_limits() const noexcept { return !limits_.empty(); }

    /// Decides on a request.
    quota_decision admit(const quota_name& quota, quota_waiter waiter, time_point now);

    /// The caller no longer waits.
    void cancel(const quota_name& quota, quota_waiter waiter);

    /// Returns the token of a request that was admitted and did not run.
    void give_back(const quota_name& quota, time_point now);

    /// Answers a node that asks for tokens.
    quota_grant_message on_ask(const quota_ask_message& ask, time_point now);

    /// Takes the answer of a home.
    void on_grant(const node_id& from, const quota_grant_message& grant, time_point now);

    /// Creates and grants nothing from now on, because the process ends.
    void stop_granting() noexcept { granting_ = false; }

    /// Gives up on answers and on waits that are overdue; call it every 50 ms.
    void poll(time_point now);

    /// Returns what is to be sent and what was decided since the last call.
    quota_outputs take_outputs();

    const std::map<quota_name, quota_counters>& counters() const noexcept
    {
        return counters_;
    }

private:
    struct pending_ask
    {
        node_id home;
        std::uint32_t tokens = 0;
        time_point sent_at{};
    };
    struct known_home
    {
        node_id node;
        time_point pause_end{};    ///< It is not asked before.
        time_point exhausted_at{}; ///< When it last had less than was asked for.
        time_point asked_at{};
    };
    struct waiting_request
    {
        quota_waiter waiter;
        time_point since{};
    };
    struct account
    {
        std::vector<known_home> homes; ///< Nearest first.
        std::uint64_t homes_version = 0;
        std::optional<pending_ask> asked;
        std::uint32_t tokens = 0;
        time_point tokens_end{}; ///< Unused tokens are dropped then.
        demand_meter demand;
        std::deque<waiting_request> waiting;
    };

    account& account_of(const quota_name& quota, const quota_limit& limit);
    quota_part* own_part(const quota_name& quota, time_point now);
    static known_home* find_home(account& entry, const node_id& node);
    known_home* next_home(account& entry, time_point now) const;
    bool try_take(const quota_name& quota, account& entry, time_point now);
    void ask(const quota_name& quota, account& entry, known_home& home, time_point now);
    void settle_waiting(const quota_name& quota, account& entry, time_point now);
    void refuse_waiting(const quota_name& quota, account& entry, time_point now);
    void refuse_overdue(const quota_name& quota, account& entry, time_point now);
    milliseconds retry_after(const quota_name& quota, const account& entry,
                             time_point now);
    void decide(const quota_name& quota, quota_waiter waiter, quota_decision decision);
    void create_parts(time_point now);
    void drop_ended_quotas();

    quota_member self_;
    double slack_;
    std::function<bool(const node_id&)> is_reachable_;
    std::vector<quota_member> members_;
    std::map<quota_name, quota_limit> limits_;
    std::uint64_t homes_version_ = 1; ///< Changes with the members and limits.
    std::optional<time_point> creating_from_;
    std::map<quota_name, account> accounts_;
    std::map<quota_name, quota_part> parts_; ///< Of the quotas that this node is home of.
    std::map<quota_name, quota_counters> counters_;
    quota_outputs outputs_;
    bool granting_ = true;
};

} // namespace fescueridge
