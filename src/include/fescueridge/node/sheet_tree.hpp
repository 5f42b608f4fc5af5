#pragma once

#include <cstddef>
#include <vector>

#include "fescueridge/base/types.hpp"

namespace fescueridge
{

/// Number of nodes of a failure domain that follow the log stream `config`; see
/// section 6.1 of the design.
constexpr std::size_t sheet_readers_per_domain = 3;

/// Maximum number of children of a node in the distribution tree. With 12, a difference
/// reaches the 1,380 nodes of a failure domain in 3 levels.
constexpr std::size_t sheet_tree_fan_out = 12;

/// Returns the nodes of a failure domain that follow the log stream `config`.
std::vector<node_id> sheet_readers(const std::vector<node_id>& live);

/// Returns the nodes to which `self` forwards differences. The readers are the roots of
/// the distribution tree. For a given list of live nodes, every other node has exactly
/// one parent.
std::vector<node_id> sheet_children(const node_id& self,
                                    const std::vector<node_id>& live);

} // namespace fescueridge
