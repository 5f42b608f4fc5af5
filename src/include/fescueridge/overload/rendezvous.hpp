#pragma once

#include <string_view>
#include <vector>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Returns the up to `count` members with the highest rendezvous hash for a key, in
/// descending order. The result depends on the set of members only, not on their order,
/// so all nodes with the same members get the same result. When a member leaves, only the
/// keys assigned to it move.
std::vector<node_id> choose_by_rendezvous(std::string_view key,
                                          const std::vector<node_id>& members,
                                          std::size_t count);

} // namespace fescueridge
