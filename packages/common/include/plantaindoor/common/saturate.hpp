// Arithmetic that ends at the limits of its type where it would wrap round or be undefined.
#pragma once

#include <cmath>
#include <concepts>
#include <limits>
#include <type_traits>

namespace plantaindoor {

/// Rounds up to a whole number; 0 for a negative amount or NaN, and the type's largest value for
/// one beyond it. Thread-safe.
template<std::unsigned_integral Count>
[[nodiscard]] Count round_up_saturated(double amount) noexcept
{
    constexpr Count most = std::numeric_limits<Count>::max();
    const double rounded = std::ceil(amount);
    if (!(rounded > 0)) {
        return 0;
    }
    return rounded >= static_cast<double>(most) ? most : static_cast<Count>(rounded);
}

/// The sum, or the type's largest value if it exceeds that. Thread-safe.
template<std::unsigned_integral Count>
[[nodiscard]] constexpr Count add_saturated(Count left, std::type_identity_t<Count> right) noexcept
{
    constexpr Count most = std::numeric_limits<Count>::max();
    return right > most - left ? most : static_cast<Count>(left + right);
}

} // namespace plantaindoor
