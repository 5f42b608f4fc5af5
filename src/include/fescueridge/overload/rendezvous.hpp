#pragma once

#include <string_view>
#include <vector>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Returns the up to `count` members with the highest rendezvous weight for a key, best
/// first. All nodes with the same member list choose the same; when a member leaves, only
/// the keys that it held move. The order of `members` does not matter.
std::vector<node_id> choose_by_rendezvous(std::string_view key,
                                          const std::vector<node_id>& members,
                                          std::size_t count);

} // namespace fescueridge
