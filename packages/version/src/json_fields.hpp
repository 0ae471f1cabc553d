// Reads fields of JSON that another process wrote: a value of another type or out of its range is
// a decode_error, where the JSON library would convert it without a word.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/codec.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace plantaindoor::version {

/// Times further from 1970 are refused, so that arithmetic on them can't overflow.
inline constexpr milliseconds furthest_time{253'402'300'799'999}; // the end of the year 9999
/// Durations in nanoseconds stay far below their range.
inline constexpr milliseconds longest_duration{std::chrono::hours(24 * 366)};

/// The value as a number of exactly this type. Throws decode_error.
template<class Number>
Number number_from(const nlohmann::json& in, const std::string& name)
{
    if constexpr (std::is_floating_point_v<Number>) {
        if (in.is_number()) {
            return in.get<Number>();
        }
    }
    else if (in.is_number_unsigned()) {
        const auto value = in.get<std::uint64_t>();
        if (std::in_range<Number>(value)) {
            return static_cast<Number>(value);
        }
    }
    else if (in.is_number_integer()) {
        const auto value = in.get<std::int64_t>();
        if (std::in_range<Number>(value)) {
            return static_cast<Number>(value);
        }
    }
    throw decode_error(name + " is not a number of its range");
}

/// The field's number. Throws decode_error, or the JSON library's exception if it is absent.
template<class Number>
void number_at(const nlohmann::json& in, const char* name, Number& value)
{
    value = number_from<Number>(in.at(name), name);
}

/// The field's list. Throws like number_at().
inline const nlohmann::json& list_at(const nlohmann::json& in, const char* name)
{
    const nlohmann::json& found = in.at(name);
    if (!found.is_array()) {
        throw decode_error(std::string(name) + " is not a list");
    }
    return found;
}

/// The field as a time; the same errors, also for one further than furthest_time.
inline wall_time wall_at(const nlohmann::json& in, const char* name)
{
    const milliseconds since(number_from<std::int64_t>(in.at(name), name));
    if (since > furthest_time || since < -furthest_time) {
        throw decode_error(std::string(name) + " is too far away");
    }
    return wall_time(since);
}

/// The field as a duration; the same errors, also for a negative or too long one.
inline milliseconds duration_at(const nlohmann::json& in, const char* name)
{
    const milliseconds length(number_from<std::int64_t>(in.at(name), name));
    if (length > longest_duration || length < milliseconds(0)) {
        throw decode_error(std::string(name) + " is out of range");
    }
    return length;
}

} // namespace plantaindoor::version
