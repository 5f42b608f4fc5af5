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

constexpr std::string_view call_prefix = "/call/";
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
        throw bad_request_error(
            fmt::format("{} must be a number from {} to {}", header, low, high));
    }
    return value;
}

std::string limited_name(const std::string& header, const std::string& text)
{
    if (text.empty() || text.size() > max_name_bytes)
    {
        throw bad_request_error(
            fmt::format("{} must have 1 to {} bytes", header, max_name_bytes));
    }
    return text;
}

bool is_needless_escape(std::string_view escape)
{
    unsigned value = 0;
    const auto [end, status] =
        std::from_chars(escape.data(), escape.data() + escape.size(), value, 16);
    if (escape.size() != 2 || status != std::errc() || end != escape.data() + 2)
    {
        return true; // not an escape at all
    }
    const auto letter = static_cast<unsigned char>(value);
    return letter == 0 || std::isalnum(letter) != 0 ||
           std::strchr("-._~/", letter) != nullptr;
}

/// Returns true if a path has one spelling only, so that the path rules of the sheet
/// cannot be avoided by another spelling.
bool is_normal_path(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    for (std::size_t at = path.find('%'); at != std::string_view::npos;
         at = path.find('%', at + 1))
    {
        if (is_needless_escape(path.substr(at + 1, 2)))
        {
            return false;
        }
    }
    for (const std::string_view bad : {"//", "/./", "/../"})
    {
        if (path.find(bad) != std::string_view::npos)
        {
            return false;
        }
    }
    const std::string_view last = path.substr(path.rfind('/') + 1);
    return last != "." && last != "..";
}

void parse_target(const std::string& target, parsed_call& call)
{
    if (target.compare(0, call_prefix.size(), call_prefix) != 0)
    {
        throw bad_request_error("the path must be /call/<service>/<path>");
    }
    if (!is_normal_path(target))
    {
        // "/publish/../publish" or "/%70ublish" would not meet the rule for "/publish".
        throw bad_request_error("the path must not have empty or dot segments, nor "
                                "percent-encoded letters, digits, dots or slashes");
    }
    const std::size_t end = target.find_first_of("/?", call_prefix.size());
    const std::string service = target.substr(
        call_prefix.size(),
        end == std::string::npos ? std::string::npos : end - call_prefix.size());
    call.service = service_name(limited_name("the service", service));
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
        call.caller = caller_name(limited_name("Fescue-Caller", *text));
    }
    if (const auto* text = find_header(headers, "Fescue-Timeout-Ms"))
    {
        call.timeout = milliseconds(parse_number<std::int64_t>("Fescue-Timeout-Ms", *text,
                                                               1, max_timeout.count()));
    }
    if (const auto* text = find_header(headers, "Fescue-Root"))
    {
        call.root = root_id(limited_name("Fescue-Root", *text));
    }
    if (const auto* text = find_header(headers, "Fescue-Attempt"))
    {
        call.attempt = parse_number<std::uint32_t>("Fescue-Attempt", *text, 1, 1'000'000);
    }
    if (const auto* text = find_header(headers, "Idempotency-Key"))
    {
        call.key = idempotency_key(limited_name("Idempotency-Key", *text));
    }
}

/// Returns true for headers that only nodes set, whatever their case.
bool is_own_header(std::string_view name)
{
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return lower.compare(0, 7, "fescue-") == 0 || lower == "idempotency-key";
}

/// Returns the headers that go on to the backend server: without those of one connection
/// and those that the nodes set themselves.
std::vector<header_field> forwarded_headers(const std::vector<header_field>& headers)
{
    std::vector<header_field> result;
    for (const header_field& header : headers)
    {
        if (!is_own_header(header.name) && !is_hop_header(header.name))
        {
            result.push_back(header);
        }
    }
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
        // A backend server must not answer in the name of the nodes; the state of a key
        // is set by the node that ran the call.
        const bool forged = is_own_header(header.name) && header.name != key_state_header;
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

/// Returns true if the load refused a call; the same request may succeed later.
bool refused_for_load(const reply_message& reply)
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

/// A root request with the rule that decides it.
struct call_ports::entry_call
{
    parsed_call call;
    std::shared_ptr<const sheet_snapshot> sheet;
    const rule* decided = nullptr;
    root_id root;
    fingerprint request;
    bool resend = false;
    retry_allowance allowance;
    std::shared_ptr<call_context> context;
    stopwatch arrived;

    priority rank() const { return decided ? decided->rank : priority(lowest_priority); }
    root_class of() const { return {rank(), resend}; }
};

call_ports::call_ports(call_port_parts parts) : parts_(std::move(parts)) {}

void call_ports::on_caller_request(http_request request,
                                   const std::shared_ptr<http_exchange>& exchange)
{
    auto entry = std::make_shared<entry_call>();
    try
    {
        entry->call = parse_call(request);
    }
    catch (const bad_request_error& problem)
    {
        parts_.events.record("bad_request", {{"text", std::string(problem.what())}});
        count(outcome::not_run);
        exchange->respond(bad_request(problem.what()));
        return;
    }
    entry->root = entry->call.root ? *entry->call.root : parts_.ids.next_root();
    entry->request = fingerprint_of(entry->call.service, request.method, entry->call.path,
                                    request.body);
    entry->resend = is_resend(*entry);
    entry->sheet = parts_.sheets.get();
    if (entry->sheet)
    {
        entry->decided = entry->sheet->rules->find(
            entry->call.service.get(), entry->call.caller.get(), entry->call.path);
    }
    if (passes_checks(*entry, *exchange) && open_root(*entry, *exchange))
    {
        start_root(entry, std::move(request), exchange);
    }
}

bool call_ports::is_resend(const entry_call& entry)
{
    const time_point now = clock::now();
    // A mark is taken also when the caller says that it sends again, so that it does not
    // stay for an equal request which is new.
    const bool marked = parts_.marks.match(entry.call.caller, entry.request, now);
    const bool known = entry.call.root && parts_.ledger.contains(entry.root, now);
    return marked || known || entry.call.attempt > 1;
}

void call_ports::mark_refusal(const entry_call& entry)
{
    parts_.marks.add(entry.call.caller, entry.request, clock::now());
}

bool call_ports::passes_checks(const entry_call& entry, http_exchange& exchange)
{
    std::optional<refusal_reason> reason = parts_.reason_to_refuse();
    if (!reason && !entry.sheet)
    {
        reason = refusal_reason::no_sheet;
    }
    if (!reason && entry.decided == nullptr)
    {
        reason = refusal_reason::no_rule;
    }
    if (!reason && entry.decided->at_most_once && !entry.call.key)
    {
        reason = refusal_reason::key_missing;
    }
    if (reason)
    {
        refuse(exchange, entry, *reason);
        return false;
    }
    const root_decision pressure =
        parts_.pressure.decide(root_fraction(entry.root), entry.of(), entry.call.service,
                               entry.call.path, clock::now());
    if (const auto* refused = std::get_if<root_refused>(&pressure))
    {
        mark_refusal(entry);
        refuse(exchange, entry,
               refused->by_entry_service ? refusal_reason::overload
                                         : refusal_reason::overload_downstream,
               refused->level);
        return false;
    }
    if (!parts_.limits.admit(*entry.decided))
    {
        mark_refusal(entry);
        refuse(exchange, entry, refusal_reason::limit);
        return false;
    }
    return true;
}

bool call_ports::open_root(entry_call& entry, http_exchange& exchange)
{
    const retry_allowance full = entry.sheet->rules->settings().retry_allowance;
    const root_attempt opening =
        parts_.ledger.begin_attempt(entry.root, entry.call.attempt, full, clock::now());
    if (std::holds_alternative<exhausted_root>(opening))
    {
        refuse(exchange, entry, refusal_reason::retries_exhausted);
        return false;
    }
    if (const auto* fresh = std::get_if<new_root>(&opening))
    {
        entry.allowance = fresh->allowance;
    }
    else if (const auto* resumed = std::get_if<resumed_root>(&opening))
    {
        entry.allowance = resumed->allowance;
    }
    return true;
}

void call_ports::start_root(const std::shared_ptr<entry_call>& entry,
                            http_request request,
                            const std::shared_ptr<http_exchange>& exchange)
{
    const milliseconds longest = entry->decided->timeout.value_or(entry->call.timeout);
    const milliseconds timeout = std::min(entry->call.timeout, longest);
    entry->context =
        std::make_shared<call_context>(entry->root, entry->call.caller, entry->of(),
                                       clock::now() + timeout, entry->allowance);
    exchange->on_closed([context = entry->context] { context->end(); });

    outbound_request outbound;
    outbound.parent = entry->context;
    outbound.service = entry->call.service;
    outbound.idempotent = is_safe_method(request.method) && !entry->decided->at_most_once;
    outbound.key = entry->call.key;
    outbound.method = std::move(request.method);
    outbound.path = entry->call.path;
    outbound.headers = forwarded_headers(request.headers);
    outbound.body = std::move(request.body);
    parts_.router.send(std::move(outbound),
                       [this, entry, exchange](const reply_message& reply)
                       {
                           end_root(*entry, reply);
                           answer(*exchange, entry->root, reply);
                       });
}

void call_ports::end_root(const entry_call& entry, const reply_message& reply)
{
    const bool ran = reply.result != outcome::not_run;
    if (refused_for_load(reply))
    {
        mark_refusal(entry);
    }
    const time_point now = clock::now();
    if (reply.result == outcome::ok)
    {
        call_time_.add(entry.arrived.elapsed(), now);
    }
    parts_.ledger.end_attempt(entry.root, entry.context->allowance.remaining(), ran, now);
    parts_.pressure.observe_root(entry.call.service, entry.call.path,
                                 entry.context->levels(), reply.result == outcome::ok);
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
        parts_.events.record("bad_request", {{"text", std::string(problem.what())}});
        exchange->respond(bad_request(problem.what()));
        return;
    }
    const std::string* id = find_header(request.headers, "Fescue-Context");
    const auto parent = id ? parts_.calls.find(call_id(*id)) : nullptr;
    entry_call entry;
    entry.call = call;
    entry.sheet = parts_.sheets.get();
    if (!parent)
    {
        refuse(*exchange, entry, refusal_reason::unknown_context);
        return;
    }
    entry.root = parent->root;
    entry.resend = parent->resend;
    entry.call.caller = parent->caller;
    entry.decided = entry.sheet ? entry.sheet->rules->find(
                                      call.service.get(), parent->caller.get(), call.path)
                                : nullptr;
    if (parent->depth >= max_call_depth)
    {
        refuse(*exchange, entry, refusal_reason::too_deep);
        return;
    }
    if (entry.decided == nullptr)
    {
        refuse(*exchange, entry, refusal_reason::no_rule);
        return;
    }
    outbound_request outbound;
    outbound.parent = parent;
    outbound.service = call.service;
    outbound.idempotent = is_safe_method(request.method) && !entry.decided->at_most_once;
    outbound.key = call.key ? call.key : parent->key;
    outbound.method = std::move(request.method);
    outbound.path = call.path;
    outbound.headers = forwarded_headers(request.headers);
    outbound.body = std::move(request.body);
    parts_.router.send(std::move(outbound),
                       [this, exchange, root = parent->root](const reply_message& reply)
                       { answer(*exchange, root, reply); });
}

void call_ports::answer(http_exchange& exchange, const root_id& root,
                        const reply_message& reply)
{
    count(reply.result);
    exchange.respond(to_response(root, reply));
}

void call_ports::refuse(http_exchange& exchange, const entry_call& entry,
                        refusal_reason reason,
                        const std::optional<admission_level>& level)
{
    const reply_message reply =
        parts_.refusals.make({call_id(), entry.call.caller, entry.call.service,
                              entry.rank(), entry.call.path, entry.resend},
                             reason, outcome::not_run, level);
    answer(exchange, entry.root, reply);
}

void call_ports::count(outcome result)
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
