#include "fescueridge/sheet/operator_api.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>

#include "fescueridge/base/error.hpp"

namespace fescueridge
{

namespace
{

using json = nlohmann::json;

// In the order of submit_status.
constexpr std::array<std::string_view, 5> status_names{"accepted", "lost", "pending",
                                                       "refused", "unavailable"};

template <class T, class Value>
struct member
{
    const char* name;
    Value T::*pointer;
    bool optional = false;
};

template <class T, class Value>
constexpr member<T, Value> field(const char* name, Value T::*pointer)
{
    return {name, pointer};
}

// One overload a struct: its members with their JSON names.
constexpr auto fields_of(const sheet_fault* /*type*/)
{
    using t = sheet_fault;
    return std::make_tuple(field("row", &t::row), field("column", &t::column),
                           field("reason", &t::reason), field("text", &t::text));
}

constexpr auto fields_of(const check_result* /*type*/)
{
    using t = check_result;
    return std::make_tuple(field("ok", &t::ok), field("faults", &t::faults));
}

constexpr auto fields_of(const submit_request* /*type*/)
{
    using t = submit_request;
    return std::make_tuple(field("author", &t::author), field("base", &t::base),
                           field("content", &t::content),
                           member<t, std::string>{"submit_id", &t::submit_id, true});
}

constexpr auto fields_of(const submit_result* /*type*/)
{
    using t = submit_result;
    return std::make_tuple(field("status", &t::status), field("version", &t::version),
                           field("winner_author", &t::winner_author),
                           field("winner_submit", &t::winner_submit),
                           field("current_version", &t::current_version),
                           field("faults", &t::faults));
}

constexpr auto fields_of(const sheet_view* /*type*/)
{
    using t = sheet_view;
    return std::make_tuple(field("version", &t::version), field("content", &t::content),
                           field("author", &t::author));
}

constexpr auto fields_of(const domain_view* /*type*/)
{
    using t = domain_view;
    return std::make_tuple(field("name", &t::name), field("nodes", &t::nodes),
                           field("lowest_version", &t::lowest_version),
                           field("reachable", &t::reachable));
}

constexpr auto fields_of(const server_status* /*type*/)
{
    using t = server_status;
    return std::make_tuple(field("service", &t::service), field("state", &t::state),
                           field("slots", &t::slots), field("limit", &t::limit),
                           field("running", &t::running), field("queued", &t::queued));
}

constexpr auto fields_of(const log_view* /*type*/)
{
    using t = log_view;
    return std::make_tuple(field("reachable", &t::reachable),
                           field("offset", &t::offset));
}

constexpr auto fields_of(const status_view* /*type*/)
{
    using t = status_view;
    return std::make_tuple(field("node", &t::node), field("incarnation", &t::incarnation),
                           field("domain", &t::domain), field("region", &t::region),
                           field("version", &t::version), field("ready", &t::ready),
                           field("domains", &t::domains), field("server", &t::server),
                           field("log", &t::log));
}

constexpr auto fields_of(const member_status* /*type*/)
{
    using t = member_status;
    return std::make_tuple(field("node", &t::node), field("incarnation", &t::incarnation),
                           field("domain", &t::domain), field("region", &t::region),
                           field("service", &t::service), field("state", &t::state),
                           field("liveness", &t::liveness), field("slots", &t::slots),
                           field("version", &t::version));
}

constexpr auto fields_of(const members_view* /*type*/)
{
    return std::make_tuple(field("members", &members_view::members));
}

constexpr auto fields_of(const service_pressure* /*type*/)
{
    using t = service_pressure;
    return std::make_tuple(
        field("service", &t::service), field("cut_priority", &t::cut_priority),
        field("cut_fraction", &t::cut_fraction), field("cut_resends", &t::cut_resends),
        field("age_ms", &t::age_ms));
}

constexpr auto fields_of(const pressure_view* /*type*/)
{
    return std::make_tuple(field("services", &pressure_view::services));
}

constexpr auto fields_of(const drain_result* /*type*/)
{
    using t = drain_result;
    return std::make_tuple(field("state", &t::state), field("in_flight", &t::in_flight));
}

constexpr auto fields_of(const explain_view* /*type*/)
{
    return std::make_tuple(field("text", &explain_view::text));
}

json write_value(fault_reason value)
{
    return std::string(to_string(value));
}

json write_value(submit_status value)
{
    return std::string(to_string(value));
}

template <class Value>
json write_value(const Value& value)
{
    return value;
}

[[noreturn]] void fail(const char* name, std::string_view problem)
{
    throw codec_error(fmt::format("member \"{}\" {}", name, problem));
}

void read_value(const char* name, const json& in, fault_reason& out)
{
    const auto reason = in.is_string()
                            ? parse_fault_reason(in.get_ref<const std::string&>())
                            : std::nullopt;
    if (!reason)
    {
        fail(name, "is no known reason");
    }
    out = *reason;
}

void read_value(const char* name, const json& in, submit_status& out)
{
    const std::string text = in.is_string() ? in.get<std::string>() : "";
    const auto* const found = std::find(status_names.begin(), status_names.end(), text);
    if (found == status_names.end())
    {
        fail(name, "is no known status");
    }
    out = static_cast<submit_status>(found - status_names.begin());
}

template <class Value>
void read_value(const char* name, const json& in, Value& out)
{
    if constexpr (std::is_same_v<Value, bool>)
    {
        if (!in.is_boolean())
        {
            fail(name, "must be true or false");
        }
    }
    else if constexpr (std::is_integral_v<Value>)
    {
        // Numbers of another sign, size or kind would be converted without an error.
        const bool fits =
            in.is_number_unsigned() &&
            in.get<std::uint64_t>() <=
                static_cast<std::uint64_t>(std::numeric_limits<Value>::max());
        if (!fits)
        {
            fail(name, "must be a whole number in range");
        }
    }
    else if constexpr (std::is_same_v<Value, std::string>)
    {
        if (!in.is_string())
        {
            fail(name, "must be a text");
        }
    }
    else if constexpr (!is_operator_type<Value>)
    {
        if (!in.is_array())
        {
            fail(name, "must be a list");
        }
    }
    in.get_to(out);
}

json parse_text(const std::string& text)
{
    json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
    {
        throw codec_error("the text is not JSON");
    }
    if (!document.is_object())
    {
        throw codec_error("the text is not a JSON object");
    }
    return document;
}

template <class Value>
void read_member(const json& in, const char* name, bool optional, Value& out)
{
    if (!in.is_object())
    {
        throw codec_error("a JSON object is expected");
    }
    const auto found = in.find(name);
    if (found == in.end() && optional)
    {
        return;
    }
    if (found == in.end())
    {
        fail(name, "is missing");
    }
    read_value(name, *found, out);
}

} // namespace

std::string_view to_string(submit_status value) noexcept
{
    return status_names[static_cast<std::size_t>(value)];
}

template <class T, std::enable_if_t<is_operator_type<T>, int>>
void to_json(json& out, const T& value)
{
    out = json::object();
    const auto write = [&](const auto& item)
    {
        out[item.name] = write_value(value.*(item.pointer));
    };
    std::apply([&](const auto&... items) { (write(items), ...); },
               fields_of(static_cast<const T*>(nullptr)));
}

template <class T, std::enable_if_t<is_operator_type<T>, int>>
void from_json(const json& in, T& value)
{
    const auto read = [&](const auto& item)
    {
        read_member(in, item.name, item.optional, value.*(item.pointer));
    };
    std::apply([&](const auto&... items) { (read(items), ...); },
               fields_of(static_cast<const T*>(nullptr)));
}

template <class Body>
std::string to_body(const Body& value)
{
    const json document = value;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Body>
Body parse_body(const std::string& text)
{
    Body result;
    from_json(parse_text(text), result);
    return result;
}

event_view parse_event_line(const std::string& line)
{
    const json document = parse_text(line);
    event_view result;
    read_member(document, "time_ms", false, result.time_ms);
    read_member(document, "node", false, result.node);
    read_member(document, "incarnation", false, result.incarnation);
    read_member(document, "seq", false, result.sequence);
    read_member(document, "lamport", false, result.lamport);
    read_member(document, "event", false, result.name);
    result.line = line;
    return result;
}

template void to_json<sheet_fault>(json&, const sheet_fault&);
template void from_json<sheet_fault>(const json&, sheet_fault&);
template std::string to_body<sheet_fault>(const sheet_fault&);
template sheet_fault parse_body<sheet_fault>(const std::string&);
template void to_json<check_result>(json&, const check_result&);
template void from_json<check_result>(const json&, check_result&);
template std::string to_body<check_result>(const check_result&);
template check_result parse_body<check_result>(const std::string&);
template void to_json<submit_request>(json&, const submit_request&);
template void from_json<submit_request>(const json&, submit_request&);
template std::string to_body<submit_request>(const submit_request&);
template submit_request parse_body<submit_request>(const std::string&);
template void to_json<submit_result>(json&, const submit_result&);
template void from_json<submit_result>(const json&, submit_result&);
template std::string to_body<submit_result>(const submit_result&);
template submit_result parse_body<submit_result>(const std::string&);
template void to_json<sheet_view>(json&, const sheet_view&);
template void from_json<sheet_view>(const json&, sheet_view&);
template std::string to_body<sheet_view>(const sheet_view&);
template sheet_view parse_body<sheet_view>(const std::string&);
template void to_json<domain_view>(json&, const domain_view&);
template void from_json<domain_view>(const json&, domain_view&);
template std::string to_body<domain_view>(const domain_view&);
template domain_view parse_body<domain_view>(const std::string&);
template void to_json<server_status>(json&, const server_status&);
template void from_json<server_status>(const json&, server_status&);
template std::string to_body<server_status>(const server_status&);
template server_status parse_body<server_status>(const std::string&);
template void to_json<log_view>(json&, const log_view&);
template void from_json<log_view>(const json&, log_view&);
template std::string to_body<log_view>(const log_view&);
template log_view parse_body<log_view>(const std::string&);
template void to_json<status_view>(json&, const status_view&);
template void from_json<status_view>(const json&, status_view&);
template std::string to_body<status_view>(const status_view&);
template status_view parse_body<status_view>(const std::string&);
template void to_json<member_status>(json&, const member_status&);
template void from_json<member_status>(const json&, member_status&);
template std::string to_body<member_status>(const member_status&);
template member_status parse_body<member_status>(const std::string&);
template void to_json<members_view>(json&, const members_view&);
template void from_json<members_view>(const json&, members_view&);
template std::string to_body<members_view>(const members_view&);
template members_view parse_body<members_view>(const std::string&);
template void to_json<service_pressure>(json&, const service_pressure&);
template void from_json<service_pressure>(const json&, service_pressure&);
template std::string to_body<service_pressure>(const service_pressure&);
template service_pressure parse_body<service_pressure>(const std::string&);
template void to_json<pressure_view>(json&, const pressure_view&);
template void from_json<pressure_view>(const json&, pressure_view&);
template std::string to_body<pressure_view>(const pressure_view&);
template pressure_view parse_body<pressure_view>(const std::string&);
template void to_json<drain_result>(json&, const drain_result&);
template void from_json<drain_result>(const json&, drain_result&);
template std::string to_body<drain_result>(const drain_result&);
template drain_result parse_body<drain_result>(const std::string&);
template void to_json<explain_view>(json&, const explain_view&);
template void from_json<explain_view>(const json&, explain_view&);
template std::string to_body<explain_view>(const explain_view&);
template explain_view parse_body<explain_view>(const std::string&);

} // namespace fescueridge
