#include "fescueridge/node/limit_control.hpp"

namespace fescueridge
{

limit_control::limit_control(node_id self, domain_name domain, const peer_table& peers,
                             const sheet_holder& sheets, sender send)
    : domain_(domain), peers_(peers), sheets_(sheets), send_(std::move(send)),
      shares_(std::move(self), std::move(domain), make_share_view())
{
}

share_lookups limit_control::make_share_view() const
{
    return share_lookups{[this](const domain_name& domain)
                         { return peers_.live_nodes(domain); },
                         [this] { return peers_.domains(); },
                         [this](std::uint32_t row)
                         {
                             return find_row(row);
                         }};
}

std::optional<row_limit> limit_control::find_row(std::uint32_t row) const
{
    const auto snapshot = sheets_.get();
    const rule* matched_rule = snapshot ? snapshot->rules->find_row(row) : nullptr;
    if (matched_rule == nullptr || !matched_rule->limit)
    {
        return std::nullopt;
    }
    return row_limit{*matched_rule->limit, snapshot->rules->settings().domains};
}

bool limit_control::admit(const rule& matched_rule)
{
    if (!matched_rule.limit)
    {
        return true;
    }
    const auto snapshot = sheets_.get();
    limit_divisors divisors;
    divisors.domains = snapshot ? snapshot->rules->settings().domains : 1;
    divisors.nodes = static_cast<std::uint32_t>(peers_.live_nodes(domain_).size());
    return shares_.admit(matched_rule.row, *matched_rule.limit, divisors, clock::now());
}

void limit_control::send_messages(const std::vector<outgoing_share_message>& messages)
{
    for (const outgoing_share_message& next : messages)
    {
        std::visit([&](const auto& message) { send_(next.to, message); }, next.message);
    }
}

void limit_control::report_demand()
{
    send_messages(shares_.report_demand(clock::now()));
}

void limit_control::exchange_domain_demand()
{
    send_messages(shares_.exchange_domain_demand(clock::now()));
}

void limit_control::on_demand_report(const node_id& from,
                                     const demand_report_message& report)
{
    shares_.on_demand(from, report, clock::now());
}

void limit_control::on_share_grant(const node_id& from, const share_grant_message& grant)
{
    send_messages(shares_.on_grant(from, grant, clock::now()));
}

void limit_control::clear()
{
    shares_.clear();
}

} // namespace fescueridge
