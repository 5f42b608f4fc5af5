#include "fescueridge/gateway/routing_config.hpp"

#include <algorithm>
#include <cctype>
#include <stdexcept>

namespace fescueridge::gateway
{
namespace
{

std::string normalized_host(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(
        key.begin(), key.end(), key.begin(),
        [](char c)
        { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); });
    return key;
}

bool equal_targets(const std::vector<weighted_target>& a,
                   const std::vector<weighted_target>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const weighted_target& x, const weighted_target& y)
                      { return x.service == y.service && x.weight == y.weight; });
}

} // namespace

message_limits client_limits::sizes_for_links() const
{
    return {sizes.header, std::min(sizes.body, max_body_bytes)};
}

route_table::route_table(routing_config config) : config_(std::move(config))
{
    for (std::size_t i = 0; i < config_.routes.size(); ++i)
        by_host_[normalized_host(config_.routes[i].host)].push_back(i);
    const auto longer_prefix = [this](std::size_t a, std::size_t b)
    {
        return config_.routes[a].path_prefix.size() >
               config_.routes[b].path_prefix.size();
    };
    for (auto& [host, indices] : by_host_)
        std::sort(indices.begin(), indices.end(), longer_prefix);
    for (std::size_t i = 0; i < config_.tenants.size(); ++i)
        for (const auto& key : config_.tenants[i].keys)
            tenants_by_key_.emplace(key, i);
    for (const auto& tenant : config_.unusable_tenants)
        keys_of_unusable_tenants_.insert(tenant.keys.begin(), tenant.keys.end());
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(normalized_host(host));
    if (found == by_host_.end())
        return nullptr;
    for (const std::size_t index : found->second)
    {
        const auto& prefix = config_.routes[index].path_prefix;
        if (path.substr(0, prefix.size()) == prefix)
            return &config_.routes[index];
    }
    return nullptr;
}

const route* route_table::find(const route_name& name) const
{
    const auto found =
        std::find_if(config_.routes.begin(), config_.routes.end(),
                     [&](const route& candidate) { return candidate.name == name; });
    return found == config_.routes.end() ? nullptr : &*found;
}

const tenant_settings* route_table::find_tenant(const client_key& key) const
{
    const auto found = tenants_by_key_.find(key);
    return found == tenants_by_key_.end() ? nullptr : &config_.tenants[found->second];
}

bool route_table::is_key_of_unusable_tenant(const client_key& key) const
{
    return keys_of_unusable_tenants_.count(key) != 0;
}

std::map<quota_name, quota_limit> route_table::quotas() const
{
    std::map<quota_name, quota_limit> result;
    for (const auto& tenant : config_.tenants)
        if (tenant.quota)
            result.emplace(quota_name(tenant.name.get()), *tenant.quota);
    return result;
}

const service_settings* route_table::service(const service_name& name) const
{
    const auto found = config_.services.find(name);
    return found == config_.services.end() ? nullptr : &found->second;
}

const service_name&
weighted_round_robin::next(const std::vector<weighted_target>& targets)
{
    if (targets.empty())
        throw std::logic_error(
            "route has no target: weighted round robin needs at least one");
    if (!equal_targets(targets, targets_))
    {
        targets_ = targets;
        current_weights_.assign(targets.size(), 0);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i)
    {
        total += targets_[i].weight;
        current_weights_[i] += targets_[i].weight;
        if (current_weights_[i] > current_weights_[best])
            best = i;
    }
    current_weights_[best] -= total;
    return targets_[best].service;
}

} // namespace fescueridge::gateway
