// A caller's request as decisions see it: what its headers and its service's defaults say.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstddef>
#include <string>

namespace plantaindoor::request {

struct caller_request {
    request_id id;
    service_id service;
    team_id team;
    version::priority priority = version::priority::interactive;
    bool idempotent = false;
    /// Empty: none given.
    std::string idempotency_key;
    time_point arrived{};
    time_point deadline{};
    std::size_t body_bytes = 0;
};

} // namespace plantaindoor::request
