#include "fescueridge/gateway/request_router.hpp"

#include <algorithm>

#include "fescueridge/base/overloaded.hpp"
#include "request_state.hpp"

namespace fescueridge::gateway
{

void request_router::set_route_table(std::shared_ptr<const route_table> table)
{
    table_ = std::move(table);
    quotas_.set_limits(table_->quotas());
}

request_rank request_router::rank_of(const route_arrivals& arrivals) const
{
    if (arrivals.rank)
        return *arrivals.rank;
    const auto* configured = table_ ? table_->find(arrivals.route) : nullptr;
    return request_rank(configured ? configured->rank : least_important_priority());
}

request_rank request_router::rank_of(const request_state& request) const
{
    const auto route_rank = request.matched_route->rank;
    const bool has_own = request.tenant && request.tenant->rank;
    return has_own ? request_rank(*request.tenant->rank, route_rank)
                   : request_rank(route_rank);
}

// Calls of servers carry no key: their routes are anonymous.
std::optional<rejection>
request_router::identify_tenant(request_state& request,
                                const std::vector<client_key>& keys)
{
    const route& matched_route = *request.matched_route;
    if (!request.table->config().requires_keys || matched_route.anonymous)
        return std::nullopt;
    if (keys.size() != 1)
        return rejection::unauthorized;
    const auto& config_bounds = settings_.bounds;
    const auto config_age = config_age_ ? config_age_() : milliseconds{0};
    if (config_bounds.fail_closed && config_age > config_bounds.revoke)
        return rejection::no_config;
    request.tenant = request.table->find_tenant(keys.front());
    if (request.table->is_key_of_unusable_tenant(keys.front()))
        return rejection::unusable;
    if (!request.tenant)
        // A newer configuration may hold the key.
        return config_age > config_bounds.config_apply ? rejection::no_config
                                                       : rejection::unauthorized;
    request.message.tenant = request.tenant->name;
    return std::nullopt;
}

bool request_router::is_server_call(const request_state& request) const
{
    if (request.tenant)
        return false;
    return origins_.called_routes().count(request.matched_route->name) != 0 &&
           executor_.may_have_called(request.client_deadline - request.arrival);
}

void request_router::take_quota(const request_ptr& request)
{
    if (!request->tenant || !request->tenant->quota)
        return admit_request(request);
    on_quota_decision(request, quotas_.admit(quota_name(request->tenant->name.get()),
                                             quota_waiter(request->number)));
}

void request_router::on_quota_decided(quota_waiter waiter, const quota_decision& decision)
{
    const auto found = requests_.find(waiter.get());
    if (found == requests_.end() || !found->second->waits_for_quota)
        return;
    const auto request = found->second;
    on_quota_decision(request, decision);
}

void request_router::on_quota_decision(const request_ptr& request,
                                       const quota_decision& decision)
{
    request->waits_for_quota = false;
    std::visit(overloaded{[&](const quota_admitted&)
                          {
                              request->has_quota_token = true;
                              admit_request(request);
                          },
                          [&](const quota_waiting&) { request->waits_for_quota = true; },
                          [&](const quota_refused& refused)
                          {
                              request->min_retry_after = refused.retry_after;
                              reject(request, rejection::quota);
                          }},
               decision);
}

// Requests that have not run do not count against the quota.
void request_router::return_quota(request_state& request)
{
    if (!request.tenant)
        return;
    const quota_name quota(request.tenant->name.get());
    if (std::exchange(request.waits_for_quota, false))
        quotas_.cancel(quota, quota_waiter(request.number));
    if (std::exchange(request.has_quota_token, false))
        quotas_.give_back(quota);
}

} // namespace fescueridge::gateway
