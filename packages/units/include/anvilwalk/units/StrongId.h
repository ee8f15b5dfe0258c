#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace anvilwalk {

// Wrapper of a value of type Rep that does not convert to other id types. Tag makes the type unique.
template <class Tag, class Rep> class StrongId {
public:
    using Representation = Rep;

    constexpr StrongId() = default;
    constexpr explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep& value() const { return m_value; }

    friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;
    friend constexpr bool operator==(const StrongId&, const StrongId&) = default;

    template <class HashState>
    friend HashState AbslHashValue(HashState state, const StrongId& id) // NOLINT(readability-identifier-naming)
    {
        return HashState::combine(std::move(state), id.m_value);
    }

private:
    Rep m_value {};
};

} // namespace anvilwalk

template <class Tag, class Rep> struct std::hash<anvilwalk::StrongId<Tag, Rep>> {
    std::size_t operator()(const anvilwalk::StrongId<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
