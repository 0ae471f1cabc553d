// One table of names for each enum class, used for parsing, printing and logging alike.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor {

/// One row of an enum's table of names.
template<class Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Specialise with `static constexpr std::array<enum_name<Enum>, N> table`.
template<class Enum>
struct enum_names;

/// The name of a value; "invalid" for a value without a row. Thread-safe.
template<class Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value) noexcept
{
    for (const auto& row : enum_names<Enum>::table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "invalid";
}

/// The value with this name, or nothing. Thread-safe.
template<class Enum>
[[nodiscard]] constexpr std::optional<Enum> parse_enum(std::string_view name) noexcept
{
    for (const auto& row : enum_names<Enum>::table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

/// All names of an enum, separated by '|', for messages about what was expected.
template<class Enum>
[[nodiscard]] std::string expected_names()
{
    std::string all;
    for (const auto& row : enum_names<Enum>::table) {
        all += (all.empty() ? "" : "|");
        all += row.name;
    }
    return all;
}

} // namespace plantaindoor
