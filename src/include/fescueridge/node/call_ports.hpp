#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "fescueridge/base/error.hpp"
#include "fescueridge/base/events.hpp"
#include "fescueridge/base/metrics.hpp"
#include "fescueridge/node/call_context.hpp"
#include "fescueridge/node/call_router.hpp"
#include "fescueridge/node/limit_control.hpp"
#include "fescueridge/node/refusals.hpp"
#include "fescueridge/node/sheet_holder.hpp"
#include "fescueridge/overload/pressure.hpp"
#include "fescueridge/overload/recent_refusals.hpp"
#include "fescueridge/overload/retry.hpp"
#include "fescueridge/transport/http_server.hpp"

namespace fescueridge
{

/// The parameters of a call, parsed from the request line and the headers.
struct parsed_call
{
    service_name service;
    std::string path;
    caller_name caller{"anonymous"};
    milliseconds timeout{1000};
    std::optional<idempotency_key> key;
    std::optional<root_id> root;
    std::uint32_t attempt = 1;
};

/// Parses the target `/call/<service>/<path>` and the Fescue headers. Throws
/// bad_request_error.
parsed_call parse_call(const http_request& request);

/// Thrown for a request whose target or headers are invalid.
class bad_request_error : public error
{
public:
    using error::error;
};

/// Objects of the node that the call ports use. All must outlive the call ports.
struct call_port_dependencies
{
    const sheet_holder& sheets;
    const refusal_maker& refusals;
    call_router& router;
    call_table& calls;
    pressure_table& pressure;
    root_ledger& ledger;
    recent_refusals& marks;
    limit_control& limits;
    id_generator& ids;
    event_log& events;
    /// Returns the reason why the node accepts no calls at the moment, or nullopt if it
    /// accepts them.
    std::function<std::optional<refusal_reason>()> unavailability_reason;
};

/// Number of responses by outcome since the node started.
struct call_counts
{
    std::atomic<std::uint64_t> ok{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> failed{0};
};

/// Request handlers of the two HTTP ports that accept calls: the caller port for root
/// requests, and the server port for downstream calls made by this node's backend server.
/// Thread safe.
class call_ports
{
public:
    explicit call_ports(call_port_dependencies dependencies);

    /// Handles a root request from a caller.
    void on_caller_request(http_request request,
                           const std::shared_ptr<http_exchange>& exchange);

    /// Handles a downstream call from this node's backend server.
    void on_server_request(http_request request,
                           const std::shared_ptr<http_exchange>& exchange);

    const call_counts& counts() const noexcept { return counts_; }

    /// Returns the time from request to response of the root requests with outcome `ok`.
    duration_summary call_time() const { return call_time_.summary(clock::now()); }

private:
    struct received_call;

    void send_reply(http_exchange& exchange, const root_id& root,
                    const reply_message& reply);
    void send_refusal(http_exchange& exchange, const received_call& received,
                      refusal_reason reason,
                      const std::optional<admission_level>& level = std::nullopt);
    bool is_resend(const received_call& received);
    void mark_refusal(const received_call& received);
    bool passes_checks(const received_call& received, http_exchange& exchange);
    bool open_root(received_call& received, http_exchange& exchange);
    void start_root(const std::shared_ptr<received_call>& received, http_request request,
                    const std::shared_ptr<http_exchange>& exchange);
    void end_root(const received_call& received, const reply_message& reply);
    void count_outcome(outcome result);

    call_port_dependencies deps_;
    call_counts counts_;
    duration_metric call_time_;
};

} // namespace fescueridge
