// Calls to an entry's operator interface, one at a time.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/connection/http_message.hpp"

#include <string>
#include <vector>

namespace plantaindoor::ctl {

/// Thrown if none of the tried entries answered.
class unreachable_error : public error {
public:
    explicit unreachable_error(const std::string& tried)
        : error("unreachable", "no entry answered; tried " + tried, {{"tried", tried}})
    {
    }
};

struct api_options {
    /// Tried in order until one answers.
    std::vector<connection::endpoint> entries;
    std::string token;
    std::string author;
    milliseconds timeout{10000};
};

/// A blocking client. Not synchronised.
class api_client {
public:
    explicit api_client(api_options options);

    /// Tries the entries in order until one answers. A call other than GET that was sent is not
    /// repeated at another entry. Throws unreachable_error.
    [[nodiscard]] connection::http_response
    call(const std::string& method, const std::string& target, const std::string& body = {}) const;

private:
    api_options m_options;
};

/// Encodes a text for use in a path or query. Thread-safe.
[[nodiscard]] std::string percent_encoded(const std::string& text);

} // namespace plantaindoor::ctl
