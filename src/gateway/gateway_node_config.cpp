#include "gateway_node_impl.hpp"

#include <algorithm>
#include <fmt/format.h>

#include "fescueridge/base/error.hpp"

namespace fescueridge::gateway
{
namespace
{

/// Returns how many faults of a configuration are told one by one.
std::size_t listed_faults(const routing_config& config)
{
    constexpr std::size_t most = 20;
    return std::min(config.faults.size(), most);
}

} // namespace

void gateway_node::impl::apply_config(const std::string& content,
                                      const std::string& source)
{
    auto config = read_newer_config(content, source);
    if (!config)
        return;
    table_ = std::make_shared<const route_table>(std::move(*config));
    config_text_ = content;
    if (unusable_version_ < version_in_force())
        unusable_version_ = config_version(0);
    log_config(table_->config(), source);
    peers_.set_rank_scale(rank_scale(table_->config()));
    router_.set_route_table(table_);
    const auto& limits = table_->config().limits;
    request_server_->set_limits(limits.sizes_for_links());
    request_server_->set_timeouts(limits.header_timeout, limits.idle_timeout);
    configure_executor();
    schedule_report();
}

config_version gateway_node::impl::version_in_force() const
{
    return table_ ? table_->config().version : config_version(0);
}

// Ignores versions that are not newer than the current one, such as those from a slower
// source.
std::optional<routing_config>
gateway_node::impl::read_newer_config(const std::string& content,
                                      const std::string& source)
{
    try
    {
        auto config = wire_.read_config(content);
        if (!table_ || config.version > version_in_force())
            return config;
    }
    catch (const unusable_config& error)
    {
        if (error.version() > version_in_force())
            unusable_version_ = std::max(unusable_version_, error.version());
        log_unusable_config(source, error.version(), error.what());
    }
    catch (const codec_error& error)
    {
        log_unusable_config(source, config_version(0), error.what());
    }
    return std::nullopt;
}

void gateway_node::impl::log_unusable_config(const std::string& source,
                                             config_version version, const char* detail)
{
    ++unusable_configs_;
    decisions_.record(log_event::config_unusable,
                      {{"source", source},
                       {"version", static_cast<std::int64_t>(version.get())},
                       {"detail", std::string(detail)}});
}

void gateway_node::impl::log_config(const routing_config& config,
                                    const std::string& source)
{
    const auto version = static_cast<std::int64_t>(config.version.get());
    for (std::size_t i = 0; i < listed_faults(config); ++i)
        decisions_.record(log_event::config_value_unusable,
                          {{"version", version},
                           {"source", source},
                           {"place", config.faults[i].place},
                           {"detail", config.faults[i].detail}});
    for (const auto& tenant : config.unusable_tenants)
        decisions_.record(log_event::config_unusable, {{"source", source},
                                                       {"tenant", tenant.name.get()},
                                                       {"detail", tenant.detail}});
    decisions_.record(log_event::config_applied,
                      {{"version", version},
                       {"source", source},
                       {"routes", static_cast<std::int64_t>(config.routes.size())},
                       {"tenants", static_cast<std::int64_t>(config.tenants.size())},
                       {"faults", static_cast<std::int64_t>(config.faults.size())}});
}

void gateway_node::impl::configure_executor()
{
    if (const auto* service = table_ ? table_->service(service_) : nullptr)
        executor_.configure(*service);
}

// For operators, whose call was answered before any node had read the configuration.
std::string gateway_node::impl::describe_config() const
{
    std::string text = fmt::format("configuration {}\n", version_in_force().get());
    if (unusable_version_ > config_version(0))
        text += fmt::format("configuration {} cannot be used\n", unusable_version_.get());
    if (!table_)
        return text;
    const auto& faults = table_->config().faults;
    const auto listed = listed_faults(table_->config());
    for (std::size_t i = 0; i < listed; ++i)
        text += fmt::format("unusable: {}: {}\n", faults[i].place, faults[i].detail);
    if (faults.size() > listed)
        text += fmt::format("and {} more\n", faults.size() - listed);
    return text;
}

} // namespace fescueridge::gateway
