#pragma once

namespace fescueridge
{

/// Makes one visitor for std::visit of several function objects.
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace fescueridge
