#include "plantaindoor/request/admission.hpp"

#include <string>

namespace plantaindoor::request {

namespace {

std::string in_milliseconds(nanoseconds value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

} // namespace

deadline_refusal::deadline_refusal(const service_id& service, nanoseconds expected,
                                   nanoseconds allowed, milliseconds retry_after)
    : refusal("deadline-unreachable",
              "service \"" + service.str() + "\" would need " + in_milliseconds(expected) +
                  " ms, the deadline leaves " + in_milliseconds(allowed) + " ms",
              {{"service", service.str()},
               {"expected_ms", in_milliseconds(expected)},
               {"allowed_ms", in_milliseconds(allowed)}},
              {.status = 503, .retry_after = retry_after})
{
}

queue_full_refusal::queue_full_refusal(const service_id& service, std::string_view limit,
                                       milliseconds retry_after)
    : refusal("queue-full",
              "service \"" + service.str() + "\" has no room to wait: limit of " +
                  std::string(limit),
              {{"service", service.str()}, {"limit", std::string(limit)}},
              {.status = 503, .retry_after = retry_after})
{
}

quota_refusal::quota_refusal(const team_id& team, std::string_view quota, std::uint32_t limit,
                             milliseconds retry_after)
    : refusal(
          "quota-exceeded",
          "team \"" + team.str() + "\" has reached " + std::string(quota) + " of " +
              std::to_string(limit) + " at this entry",
          {{"team", team.str()}, {"quota", std::string(quota)}, {"limit", std::to_string(limit)}},
          {.status = 429, .retry_after = retry_after})
{
}

} // namespace plantaindoor::request
