#pragma once

#include <map>
#include <set>

#include "fescueridge/base/request_rank.hpp"
#include "fescueridge/gateway/routing_config.hpp"

namespace fescueridge::gateway
{

/// Expresses the ranks of a configuration as compact ranks, for peers that read protocol
/// revision 0 of the links, which are those of the version before during an update.
///
/// A rank that is compact keeps its value where the others leave room. The order of any
/// two ranks is never reversed, and no two of the configuration become equal while it has
/// at most compact_rank_count of them; beyond that, neighbours share a compact rank.
class rank_scale
{
public:
    /// The scale of no configuration: compact ranks keep their values.
    rank_scale() = default;

    explicit rank_scale(const routing_config& config);

    /// Returns the compact rank that stands for a rank.
    request_rank compacted(const request_rank& rank) const;

    /// Returns the most important rank that a compact rank of a peer stands for.
    request_rank expanded(const request_rank& compact) const;

private:
    std::map<request_rank, std::uint64_t> compact_by_rank_;
    std::map<std::uint64_t, request_rank> rank_by_compact_;
};

/// Returns the ranks that requests can have under a configuration.
std::set<request_rank> ranks_of(const routing_config& config);

} // namespace fescueridge::gateway
