// What the event loop throws.
#pragma once

#include "plantaindoor/common/error.hpp"

#include <cstring>
#include <string>

namespace plantaindoor::process {

/// The system refused something that the loop can't do without.
class loop_error final : public error {
public:
    loop_error(const std::string& call, int code)
        : error("event-loop", call + ": " + std::strerror(code), {{"call", call}})
    {
    }
};

} // namespace plantaindoor::process
