// Rows of jobs as JSON text.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::process {

/// Bytes that are not UTF-8 are replaced, so that any job can be written. Thread-safe.
inline std::string dumped(const nlohmann::json& body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Nothing for bytes that `decode` can't read. Thread-safe.
template<class Decode>
auto decoded(std::string_view bytes, Decode decode)
    -> std::optional<decltype(decode(nlohmann::json()))>
{
    try {
        return decode(nlohmann::json::parse(bytes));
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace plantaindoor::process
