#include "fescueridge/node/refusals.hpp"

#include "fescueridge/base/clock.hpp"
#include "fescueridge/sheet/explain.hpp"

namespace fescueridge
{

refusal_maker::refusal_maker(node_id node, domain_name domain, const sheet_holder& sheets)
    : node_(std::move(node)), domain_(std::move(domain)), sheets_(sheets)
{
}

reply_message refusal_maker::make_reply(const refused_call& call, refusal_reason reason,
                                        outcome result,
                                        const std::optional<admission_level>& level) const
{
    refusal_record record;
    if (const auto snapshot = sheets_.get())
    {
        const rule* matched_rule =
            snapshot->rules->find(call.service.get(), call.caller.get(), call.path);
        set_rule(record, snapshot->version, *snapshot->rules, matched_rule);
    }
    record.reason = reason;
    record.result = result;
    record.service = call.service;
    record.caller = call.caller;
    record.rank = call.rank;
    record.resend = call.resend;
    record.domain = domain_;
    record.node = node_;
    record.wall_ms = wall_clock_ms();
    record.level = level;

    reply_message reply;
    reply.id = call.id;
    reply.result = result;
    reply.reason = reason;
    reply.status = http_status(reason);
    reply.refusal_token = encode_token(record);
    return reply;
}

} // namespace fescueridge
