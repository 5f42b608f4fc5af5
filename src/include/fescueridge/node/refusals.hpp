#pragma once

#include <optional>

#include "fescueridge/base/outcome.hpp"
#include "fescueridge/base/types.hpp"
#include "fescueridge/codec/messages.hpp"
#include "fescueridge/node/sheet_holder.hpp"

namespace fescueridge
{

/// The attributes of a call that its refusal token records.
struct refused_call
{
    call_id id;
    caller_name caller;
    service_name service;
    priority rank;
    std::string path;
    bool resend = false;
};

/// Builds replies for calls that were refused or failed. Each reply contains a refusal
/// token, from which the operator port explains the refusal. Thread safe.
class refusal_maker
{
public:
    refusal_maker(node_id node, domain_name domain, const sheet_holder& sheets);

    /// Returns the reply. `level` is the admission level below which the call was
    /// refused, if any.
    reply_message
    make_reply(const refused_call& call, refusal_reason reason, outcome result,
               const std::optional<admission_level>& level = std::nullopt) const;

private:
    node_id node_;
    domain_name domain_;
    const sheet_holder& sheets_;
};

} // namespace fescueridge
