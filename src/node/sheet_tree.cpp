#include "fescueridge/node/sheet_tree.hpp"

#include <algorithm>

#include "fescueridge/overload/rendezvous.hpp"

namespace fescueridge
{

namespace
{

constexpr const char* rendezvous_key = "config-readers";

} // namespace

std::vector<node_id> sheet_readers(const std::vector<node_id>& live)
{
    return choose_by_rendezvous(rendezvous_key, live, sheet_readers_per_domain);
}

std::vector<node_id> sheet_children(const node_id& self, const std::vector<node_id>& live)
{
    const auto order = choose_by_rendezvous(rendezvous_key, live, live.size());
    const auto found = std::find(order.begin(), order.end(), self);
    if (found == order.end())
    {
        return {};
    }
    const auto position = static_cast<std::size_t>(found - order.begin());
    const std::size_t first =
        std::min(sheet_readers_per_domain + position * sheet_tree_fan_out, order.size());
    const std::size_t end = std::min(first + sheet_tree_fan_out, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(first),
            order.begin() + static_cast<std::ptrdiff_t>(end)};
}

} // namespace fescueridge
