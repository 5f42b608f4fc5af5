#include "fescueridge/node/call_ports.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "fescueridge/base/stopwatch.hpp"
#include "fescueridge/overload/quarantine.hpp"

namespace fescueridge
{

namespace
{

constexpr std::string_view call_path_prefix = "/call/";
constexpr std::string_view key_state_header = "Fescue-Key-State";
constexpr milliseconds max_timeout{3'600'000};
constexpr std::size_t max_name_bytes = 200;

template <class Number>
Number parse_number(const std::string& header, const std::string& text, Number low,
                    Number high)
{
    Number value{};
    const auto [end, status] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size() || value < low ||
        value > high)
    {
        throw bad_request_error(fmt::format(
            "header {} must be a whole number from {} to {}", header, low, high));
    }
    return value;
}

std::string checked_name(const std::string& header, const std::string& text)
{
    if (text.empty() || text.size() > max_name_bytes)
    {
        throw bad_request_error(
            fmt::format("{} must have 1 to {} bytes", header, max_name_bytes));
    }
    return text;
}

bool is_disallowed_escape(std::string_view escape)
{
    unsigned value = 0;
    const auto [end, status] =
        std::from_chars(escape.data(), escape.data() + escape.size(), value, 16);
    if (escape.size() != 2 || status != std::errc() || end != escape.data() + 2)
    {
        return true; // malformed escape
    }
    const auto character = static_cast<unsigned char>(value);
    return character == 0 || std::isalnum(character) != 0 ||
           std::strchr("-._~/", character) != nullptr;
}

/// Returns true if a path is in canonical form. Otherwise a client could avoid the path
/// rules of the sheet with an equivalent spelling of the path.
bool is_canonical_path(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    for (std::size_t at = path.find('%'); at != std::string_view::npos;
         at = path.find('%', at + 1))
    {
        if (is_disallowed_escape(path.substr(at + 1, 2)))
        {
            return false;
        }
    }
    for (const std::string_view disallowed : {"//", "/./", "/../"})
    {
        if (path.find(disallowed) != std::string_view::npos)
        {
            return false;
        }
    }
    const std::string_view last_segment = path.substr(path.rfind('/') + 1);
    return last_segment != "." && last_segment != "..";
}

void parse_target(const std::string& target, parsed_call& call)
{
    if (target.compare(0, call_path_prefix.size(), call_path_prefix) != 0)
    {
        throw bad_request_error("request path must be /call/<service>/<path>");
    }
    if (!is_canonical_path(target))
    {
        // "/publish/../publish" or "/%70ublish" would not match the rule for "/publish".
        throw bad_request_error("path must not contain empty or dot segments, malformed "
                                "percent escapes, or percent-encoded letters, digits, "
                                "NUL or any of \"-._~/\"");
    }
    const std::size_t end = target.find_first_of("/?", call_path_prefix.size());
    const std::string service = target.substr(
        call_path_prefix.size(),
        end == std::string::npos ? std::string::npos : end - call_path_prefix.size());
    call.service = service_name(checked_name("service name", service));
    call.path = end == std::string::npos ? "/" : target.substr(end);
    if (call.path.front() != '/')
    {
        call.path.insert(0, "/");
    }
}

void parse_headers(const std::vector<header_field>& headers, parsed_call& call)
{
    if (const auto* text = find_header(headers, "Fescue-Caller"))
    {
        call.caller = caller_name(checked_name("header Fescue-Caller", *text));
    }
    if (const auto* text = find_header(headers, "Fescue-Timeout-Ms"))
    {
        call.timeout = milliseconds(parse_number<std::int64_t>("Fescue-Timeout-Ms", *text,
                                                               1, max_timeout.count()));
    }
    if (const auto* text = find_header(headers, "Fescue-Root"))
    {
        call.root = root_id(checked_name("header Fescue-Root", *text));
    }
    if (const auto* text = find_header(headers, "Fescue-Attempt"))
    {
        call.attempt = parse_number<std::uint32_t>("Fescue-Attempt", *text, 1, 1'000'000);
    }
    if (const auto* text = find_header(headers, "Idempotency-Key"))
    {
        call.key = idempotency_key(checked_name("header Idempotency-Key", *text));
    }
}

/// Returns true for headers that only nodes may set. Ignores case.
bool is_reserved_header(std::string_view name)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return lower.compare(0, 7, "fescue-") == 0 || lower == "idempotency-key";
}

/// Returns the headers to forward to the backend server: all except hop-by-hop headers
/// and headers that only nodes may set.
std::vector<header_field> forwarded_headers(const std::vector<header_field>& headers)
{
    std::vector<header_field> result = headers;
    remove_hop_headers(result, [](std::string_view /*name*/) { return false; });
    result.erase(std::remove_if(result.begin(), result.end(),
                                [](const header_field& header)
                                { return is_reserved_header(header.name); }),
                 result.end());
    return result;
}

bool is_safe_method(const std::string& method)
{
    return method == "GET" || method == "HEAD";
}

http_response to_response(const root_id& root, const reply_message& reply)
{
    http_response response;
    response.status = reply.status;
    for (const header_field& header : reply.headers)
    {
        // Headers reserved for nodes are removed from a backend server's response. The
        // exception is the key state, which the node that ran the call has set.
        const bool forged =
            is_reserved_header(header.name) && header.name != key_state_header;
        if (!forged && !is_hop_header(header.name))
        {
            response.headers.push_back(header);
        }
    }
    response.headers.push_back({"Fescue-Outcome", std::string(to_string(reply.result))});
    response.headers.push_back({"Fescue-Root", root.get()});
    response.body = reply.body;
    if (!reply.reason)
    {
        return response;
    }
    const std::string reason(to_string(*reply.reason));
    response.headers.push_back({"Fescue-Reason", reason});
    response.headers.push_back({"Fescue-Refusal", reply.refusal_token});
    if (response.body.empty())
    {
        const nlohmann::ordered_json body{{"outcome", to_string(reply.result)},
                                          {"reason", reason},
                                          {"root", root.get()},
                                          {"refusal", reply.refusal_token}};
        response.body =
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        response.headers.push_back({"Content-Type", "application/json"});
    }
    return response;
}

/// Returns true if a call was refused because of load, so that the same request may
/// succeed later.
bool is_load_refusal(const reply_message& reply)
{
    return reply.reason == refusal_reason::overload ||
           reply.reason == refusal_reason::overload_downstream ||
           (reply.reason == refusal_reason::deadline && reply.result == outcome::not_run);
}

http_response bad_request(const std::string& text)
{
    const nlohmann::ordered_json body{
        {"outcome", "not_run"}, {"reason", "bad_request"}, {"text", text}};
    http_response response;
    response.status = http_status(refusal_reason::bad_request);
    response.headers = {{"Fescue-Outcome", "not_run"},
                        {"Fescue-Reason", "bad_request"},
                        {"Content-Type", "application/json"}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace

parsed_call parse_call(const http_request& request)
{
    parsed_call call;
    parse_target(request.target, call);
    parse_headers(request.headers, call);
    return call;
}

/// A call received on one of the ports, with the sheet rule that matches it.
struct call_ports::received_call
{
    parsed_call call;
    std::shared_ptr<const sheet_snapshot> sheet;
    const rule* matched_rule = nullptr;
    root_id root;
    fingerprint request_fingerprint;
    bool resend = false;
    retry_allowance allowance;
    std::shared_ptr<call_context> context;
    stopwatch since_arrival;

    priority rank() const
    {
        return matched_rule ? matched_rule->rank : priority(lowest_priority);
    }
    root_class admission_class() const { return {rank(), resend}; }
};

call_ports::call_ports(call_port_dependencies dependencies)
    : deps_(std::move(dependencies))
{
}

void call_ports::on_caller_request(http_request request,
                                   const std::shared_ptr<http_exchange>& exchange)
{
    auto received = std::make_shared<received_call>();
    try
    {
        received->call = parse_call(request);
    }
    catch (const bad_request_error& problem)
    {
        deps_.events.record("bad_request", {{"text", std::string(problem.what())}});
        count_outcome(outcome::not_run);
        exchange->respond(bad_request(problem.what()));
        return;
    }
    received->root =
        received->call.root ? *received->call.root : deps_.ids.next_root_id();
    received->request_fingerprint = fingerprint_of(received->call.service, request.method,
                                                   received->call.path, request.body);
    received->resend = is_resend(*received);
    received->sheet = deps_.sheets.get();
    if (received->sheet)
    {
        received->matched_rule = received->sheet->rules->find(
            received->call.service.get(), received->call.caller.get(),
            received->call.path);
    }
    if (passes_checks(*received, *exchange) && open_root(*received, *exchange))
    {
        start_root(received, std::move(request), exchange);
    }
}

bool call_ports::is_resend(const received_call& received)
{
    const time_point now = clock::now();
    // The mark is also removed if the attempt header already identifies a resend.
    // Otherwise it would remain and match a later equal request that is new.
    const bool marked =
        deps_.marks.match(received.call.caller, received.request_fingerprint, now);
    const bool known = received.call.root && deps_.ledger.contains(received.root, now);
    return marked || known || received.call.attempt > 1;
}

void call_ports::mark_refusal(const received_call& received)
{
    deps_.marks.add(received.call.caller, received.request_fingerprint, clock::now());
}

bool call_ports::passes_checks(const received_call& received, http_exchange& exchange)
{
    std::optional<refusal_reason> reason = deps_.unavailability_reason();
    if (!reason && !received.sheet)
    {
        reason = refusal_reason::no_sheet;
    }
    if (!reason && received.matched_rule == nullptr)
    {
        reason = refusal_reason::no_rule;
    }
    if (!reason && received.matched_rule->at_most_once && !received.call.key)
    {
        reason = refusal_reason::key_missing;
    }
    if (reason)
    {
        send_refusal(exchange, received, *reason);
        return false;
    }
    const root_decision decision =
        deps_.pressure.decide(root_fraction(received.root), received.admission_class(),
                              received.call.service, received.call.path, clock::now());
    if (const auto* refused = std::get_if<root_refused>(&decision))
    {
        mark_refusal(received);
        send_refusal(exchange, received,
                     refused->by_entry_service ? refusal_reason::overload
                                               : refusal_reason::overload_downstream,
                     refused->level);
        return false;
    }
    if (!deps_.limits.admit(*received.matched_rule))
    {
        mark_refusal(received);
        send_refusal(exchange, received, refusal_reason::limit);
        return false;
    }
    return true;
}

bool call_ports::open_root(received_call& received, http_exchange& exchange)
{
    const retry_allowance full_allowance =
        received.sheet->rules->settings().retry_allowance;
    const root_attempt opening = deps_.ledger.begin_attempt(
        received.root, received.call.attempt, full_allowance, clock::now());
    if (std::holds_alternative<exhausted_root>(opening))
    {
        send_refusal(exchange, received, refusal_reason::retries_exhausted);
        return false;
    }
    if (const auto* fresh = std::get_if<new_root>(&opening))
    {
        received.allowance = fresh->allowance;
    }
    else if (const auto* resumed = std::get_if<resumed_root>(&opening))
    {
        received.allowance = resumed->allowance;
    }
    return true;
}

void call_ports::start_root(const std::shared_ptr<received_call>& received,
                            http_request request,
                            const std::shared_ptr<http_exchange>& exchange)
{
    const milliseconds rule_timeout =
        received->matched_rule->timeout.value_or(received->call.timeout);
    const milliseconds timeout = std::min(received->call.timeout, rule_timeout);
    received->context = std::make_shared<call_context>(
        received->root, received->call.caller, received->admission_class(),
        clock::now() + timeout, received->allowance);
    exchange->on_closed([context = received->context] { context->end(); });

    outbound_request outbound;
    outbound.parent = received->context;
    outbound.service = received->call.service;
    outbound.idempotent =
        is_safe_method(request.method) && !received->matched_rule->at_most_once;
    outbound.key = received->call.key;
    outbound.method = std::move(request.method);
    outbound.path = received->call.path;
    outbound.headers = forwarded_headers(request.headers);
    outbound.body = std::move(request.body);
    deps_.router.send(std::move(outbound),
                      [this, received, exchange](const reply_message& reply)
                      {
                          end_root(*received, reply);
                          send_reply(*exchange, received->root, reply);
                      });
}

void call_ports::end_root(const received_call& received, const reply_message& reply)
{
    const bool ran = reply.result != outcome::not_run;
    if (is_load_refusal(reply))
    {
        mark_refusal(received);
    }
    const time_point now = clock::now();
    if (reply.result == outcome::ok)
    {
        call_time_.add(received.since_arrival.elapsed(), now);
    }
    deps_.ledger.end_attempt(received.root, received.context->allowance.remaining(), ran,
                             now);
    deps_.pressure.observe_root(received.call.service, received.call.path,
                                received.context->levels(), reply.result == outcome::ok);
}

void call_ports::on_server_request(http_request request,
                                   const std::shared_ptr<http_exchange>& exchange)
{
    parsed_call call;
    try
    {
        call = parse_call(request);
    }
    catch (const bad_request_error& problem)
    {
        deps_.events.record("bad_request", {{"text", std::string(problem.what())}});
        exchange->respond(bad_request(problem.what()));
        return;
    }
    const std::string* id = find_header(request.headers, "Fescue-Context");
    const auto parent = id ? deps_.calls.find(call_id(*id)) : nullptr;
    received_call received;
    received.call = call;
    received.sheet = deps_.sheets.get();
    if (!parent)
    {
        send_refusal(*exchange, received, refusal_reason::unknown_context);
        return;
    }
    received.root = parent->root;
    received.resend = parent->resend;
    received.call.caller = parent->caller;
    received.matched_rule =
        received.sheet ? received.sheet->rules->find(call.service.get(),
                                                     parent->caller.get(), call.path)
                       : nullptr;
    if (parent->depth >= max_call_depth)
    {
        send_refusal(*exchange, received, refusal_reason::too_deep);
        return;
    }
    if (received.matched_rule == nullptr)
    {
        send_refusal(*exchange, received, refusal_reason::no_rule);
        return;
    }
    outbound_request outbound;
    outbound.parent = parent;
    outbound.service = call.service;
    outbound.idempotent =
        is_safe_method(request.method) && !received.matched_rule->at_most_once;
    outbound.key = call.key ? call.key : parent->key;
    outbound.method = std::move(request.method);
    outbound.path = call.path;
    outbound.headers = forwarded_headers(request.headers);
    outbound.body = std::move(request.body);
    deps_.router.send(std::move(outbound),
                      [this, exchange, root = parent->root](const reply_message& reply)
                      { send_reply(*exchange, root, reply); });
}

void call_ports::send_reply(http_exchange& exchange, const root_id& root,
                            const reply_message& reply)
{
    count_outcome(reply.result);
    exchange.respond(to_response(root, reply));
}

void call_ports::send_refusal(http_exchange& exchange, const received_call& received,
                              refusal_reason reason,
                              const std::optional<admission_level>& level)
{
    const reply_message reply =
        deps_.refusals.make_reply({call_id(), received.call.caller, received.call.service,
                                   received.rank(), received.call.path, received.resend},
                                  reason, outcome::not_run, level);
    send_reply(exchange, received.root, reply);
}

void call_ports::count_outcome(outcome result)
{
    switch (result)
    {
    case outcome::ok:
        ++counts_.ok;
        break;
    case outcome::not_run:
        ++counts_.not_run;
        break;
    case outcome::unknown:
        ++counts_.unknown;
        break;
    case outcome::failed:
        ++counts_.failed;
        break;
    }
}

} // namespace fescueridge
