#include "fescueridge/base/request_rank.hpp"

namespace fescueridge
{

std::string to_string(const request_rank& rank)
{
    const auto route = std::to_string(rank.route.get());
    return rank.tenant.get() == 0 ? route
                                  : std::to_string(rank.tenant.get()) + '.' + route;
}

} // namespace fescueridge
