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

/// What a request line and its headers say about a call.
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

/// Reads `/call/<service>/<path>` and the Fescue headers. Throws bad_request_error.
parsed_call parse_call(const http_request& request);

/// A request does not have the form that the call ports expect.
class bad_request_error : public error
{
public:
    using error::error;
};

/// What the call ports use of their node. All of them outlive the ports.
struct call_port_parts
{
    const sheet_holder& sheets;
    const refusal_maker& refusals;
    call_router& router;
    call_table& calls;
    pressure_table& pressure;
    root_ledger& ledger;
    recent_refusals& marks;
    limit_control& limits;
    id_source& ids;
    event_log& events;
    /// Why no call is taken at the moment; nothing in normal operation.
    std::function<std::optional<refusal_reason>()> reason_to_refuse;
};

/// Counts of answers by outcome since the start.
struct call_counts
{
    std::atomic<std::uint64_t> ok{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> failed{0};
};

/// Handlers of the two HTTP ports that take calls: the caller port, where root requests
/// enter, and the server-side port, where the own backend server makes downstream calls.
/// Thread safe.
class call_ports
{
public:
    explicit call_ports(call_port_parts parts);

    /// Takes a request of a caller.
    void on_caller_request(http_request request,
                           const std::shared_ptr<http_exchange>& exchange);

    /// Takes a downstream call of the own backend server.
    void on_server_request(http_request request,
                           const std::shared_ptr<http_exchange>& exchange);

    const call_counts& counts() const noexcept { return counts_; }

    /// Returns the time from request to answer of the root requests that ended `ok`.
    duration_summary call_time() const { return call_time_.summary(clock::now()); }

private:
    struct entry_call;

    void answer(http_exchange& exchange, const root_id& root, const reply_message& reply);
    void refuse(http_exchange& exchange, const entry_call& entry, refusal_reason reason,
                const std::optional<admission_level>& level = std::nullopt);
    bool is_resend(const entry_call& entry);
    void mark_refusal(const entry_call& entry);
    bool passes_checks(const entry_call& entry, http_exchange& exchange);
    bool open_root(entry_call& entry, http_exchange& exchange);
    void start_root(const std::shared_ptr<entry_call>& entry, http_request request,
                    const std::shared_ptr<http_exchange>& exchange);
    void end_root(const entry_call& entry, const reply_message& reply);
    void count(outcome result);

    call_port_parts parts_;
    call_counts counts_;
    duration_metric call_time_;
};

} // namespace fescueridge
