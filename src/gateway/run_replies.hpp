#pragma once

#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/overload/quarantine.hpp"

namespace fescueridge::gateway::detail
{

/// Lowest HTTP status that counts as a failure of the server.
constexpr int first_failure_status = 500;

/// Returns a reply without a server's answer.
inline forward_reply_message make_reply(forward_result result, forward_failure failure)
{
    forward_reply_message reply;
    reply.result = result;
    reply.failure = failure;
    return reply;
}

/// Returns the fingerprint of a request. The whole body is hashed, so call it only for
/// requests that may have caused a crash.
inline fingerprint request_fingerprint(const forward_message& call)
{
    return fingerprint_of(call.caller, call.method, call.target, call.body);
}

} // namespace fescueridge::gateway::detail
