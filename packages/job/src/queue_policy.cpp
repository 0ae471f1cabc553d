#include "plantaindoor/job/queue_policy.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace plantaindoor::job {

using nlohmann::json;

json to_json(const queue_policy& policy)
{
    json result{{"service", policy.service.str()},
                {"priority", policy.priority},
                {"max_attempts", policy.max_attempts},
                {"stretch", policy.stretch},
                {"target_ms", policy.target_latency.count()}};
    if (policy.requires_ticket) {
        result["ticket"] = true;
    }
    return result;
}

queue_policy parse_queue_policy(std::string name, const json& from)
{
    return {.name = std::move(name),
            .service = service_id(from.at("service").get<std::string>()),
            .priority = from.at("priority").get<std::uint32_t>(),
            .max_attempts = from.at("max_attempts").get<std::uint32_t>(),
            .stretch = from.at("stretch").get<double>(),
            .target_latency = milliseconds(from.at("target_ms").get<std::int64_t>()),
            .requires_ticket = from.value("ticket", false),
            .former_services = {}};
}

} // namespace plantaindoor::job
