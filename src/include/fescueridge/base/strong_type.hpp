#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fescueridge
{

/// A value of type T that does not mix with other values of the same representation. Tag
/// tells the types apart.
template <class T, class Tag>
class strong_type
{
public:
    using value_type = T;

    strong_type() = default;
    explicit strong_type(T value) : value_(std::move(value)) {}

    /// Returns the underlying value.
    const T& get() const noexcept { return value_; }

    friend bool operator==(const strong_type& a, const strong_type& b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(const strong_type& a, const strong_type& b)
    {
        return !(a == b);
    }
    friend bool operator<(const strong_type& a, const strong_type& b)
    {
        return a.value_ < b.value_;
    }
    friend bool operator>(const strong_type& a, const strong_type& b) { return b < a; }
    friend bool operator<=(const strong_type& a, const strong_type& b)
    {
        return !(b < a);
    }
    friend bool operator>=(const strong_type& a, const strong_type& b)
    {
        return !(a < b);
    }

private:
    T value_{};
};

} // namespace fescueridge

template <class T, class Tag>
struct std::hash<fescueridge::strong_type<T, Tag>>
{
    std::size_t operator()(const fescueridge::strong_type<T, Tag>& value) const
    {
        return std::hash<T>{}(value.get());
    }
};
