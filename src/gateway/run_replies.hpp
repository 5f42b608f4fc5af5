#pragma once

#include "fescueridge/codec/gateway_messages.hpp"
#include "fescueridge/overload/quarantine.hpp"

namespace fescueridge::gateway::detail
{

/// Status from which on an answer counts as a failure of the server.
constexpr int first_failure_status = 500;

/// Returns a reply without an answer of a server.
inline forward_reply_message make_reply(forward_result result, forward_failure failure)
{
    forward_reply_message reply;
    reply.result = result;
    reply.failure = failure;
    return reply;
}

/// Hashes the whole body: only for requests that a crash may concern.
inline fingerprint print_of(const forward_message& call)
{
    return fingerprint_of(call.caller, call.method, call.target, call.body);
}

} // namespace fescueridge::gateway::detail
