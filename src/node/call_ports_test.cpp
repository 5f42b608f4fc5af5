#include <criterion/criterion.h>

#include "fescueridge/node/call_ports.hpp"

using namespace fescueridge;

namespace
{

http_request request(const std::string& target, std::vector<header_field> headers = {})
{
    http_request result;
    result.method = "GET";
    result.target = target;
    result.headers = std::move(headers);
    return result;
}

bool is_refused(const http_request& value)
{
    try
    {
        parse_call(value);
    }
    catch (const bad_request_error&)
    {
        return true;
    }
    return false;
}

} // namespace

// The target of a call contains the service, the path and the query. They must be split
// at the first slash or question mark after the service.
Test(node_call_ports, reads_service_and_path)
{
    cr_assert(parse_call(request("/call/till/price/7?x=/../1")).path ==
              "/price/7?x=/../1");
    cr_assert(parse_call(request("/call/till")).path == "/");
    cr_assert(parse_call(request("/call/till?x=1")).path == "/?x=1");
    cr_assert(parse_call(request("/call/till/a%20b")).path == "/a%20b");
    cr_assert(parse_call(request("/call/till")).service == service_name("till"));
}

// An equivalent spelling of a path would not match an at-most-once rule for the path, and
// the call could run twice. Paths that are not in canonical form must be refused.
Test(node_call_ports, refuses_noncanonical_paths)
{
    for (const char* target :
         {"/call/menu//publish", "/call/menu/./publish", "/call/menu/x/../publish",
          "/call/menu/%70ublish", "/call/menu/x/%2e%2E/publish", "/call/menu/publish/..",
          "/call/menu/a%2Fb", "/call/menu/%zz", "/call/menu/%", "/other/menu", "/call/"})
    {
        cr_assert(is_refused(request(target)), "%s was accepted", target);
    }
}

// Malformed or out-of-range header values must be refused, not ignored or clamped.
Test(node_call_ports, refuses_bad_headers)
{
    for (const char* timeout : {"0", "-1", "5x", "", "99999999999999999999"})
    {
        cr_assert(is_refused(request("/call/till", {{"Fescue-Timeout-Ms", timeout}})));
    }
    cr_assert(is_refused(request("/call/till", {{"Fescue-Attempt", "0"}})));
    cr_assert(is_refused(request("/call/till", {{"Idempotency-Key", ""}})));
    cr_assert(
        is_refused(request("/call/till", {{"Fescue-Caller", std::string(201, 'x')}})));
}
