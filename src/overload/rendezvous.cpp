#include "fescueridge/overload/rendezvous.hpp"

#include <algorithm>
#include <utility>

#include "fescueridge/base/random.hpp"

namespace fescueridge
{

std::vector<node_id> choose_by_rendezvous(std::string_view key,
                                          const std::vector<node_id>& members,
                                          std::size_t count)
{
    const std::uint64_t seed = stable_hash(key);
    std::vector<std::pair<std::uint64_t, node_id>> weighted;
    weighted.reserve(members.size());
    for (const auto& member : members)
    {
        weighted.emplace_back(stable_hash(member.get(), seed), member);
    }
    const auto kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(),
                      weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(), [](const auto& a, const auto& b) { return b < a; });
    std::vector<node_id> chosen;
    chosen.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
    {
        chosen.push_back(std::move(weighted[i].second));
    }
    return chosen;
}

} // namespace fescueridge
