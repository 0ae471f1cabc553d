// What rules can ask about: named figures of the fleet, the platform and the load at one moment.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/version/ledger.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plantaindoor::version {

enum class rule_fact {
    waves_running,
    lost_zones,
    lost_racks,
    jobs_waiting,
    earliest_deadline_s, ///< seconds until the earliest deadline of a waiting job
    urgent_demand,       ///< urgent requests and jobs that wait
    table_down,          ///< 1 while the platform's table gives no answers, else 0
    hour,                ///< of the day, UTC, 0 to 23
    service_healthy,     ///< percent of a service's instances
    pool_healthy,        ///< percent of a pool's instances
};

/// One fact; the subject names the service or pool, and is empty for the others.
struct fact_key {
    rule_fact fact = rule_fact::hour;
    std::string subject;

    friend auto operator<=>(const fact_key&, const fact_key&) = default;
};

/// "service_healthy(spell)". Thread-safe.
[[nodiscard]] std::string to_string(const fact_key& key);

/// Known facts; one that is not in the map is unknown, and no condition on it holds or fails.
using rule_facts = std::map<fact_key, double>;

/// Figures of waiting jobs and urgent requests.
struct demand_facts {
    std::uint32_t jobs_waiting = 0;
    /// Nothing while no waiting job has a deadline.
    std::optional<std::int64_t> earliest_deadline_s;
    std::uint32_t urgent_demand = 0;
};

/// What facts are gathered from. Nothing stands for what is not known now.
struct fact_sources {
    const fleet& whole;
    std::optional<lost_instances> lost;
    std::optional<demand_facts> demand;
    bool table_down = false;
    wall_time now{};
};

/// The facts at one moment. A zone or rack is lost when none of its instances is listed as live, and
/// not all of them were stopped by a plan. Thread-safe.
[[nodiscard]] rule_facts gather_facts(const fact_sources& sources);

} // namespace plantaindoor::version

namespace plantaindoor {

template<>
struct enum_names<version::rule_fact> {
    static constexpr std::array<enum_name<version::rule_fact>, 10> table{{
        {version::rule_fact::waves_running, "waves_running"},
        {version::rule_fact::lost_zones, "lost_zones"},
        {version::rule_fact::lost_racks, "lost_racks"},
        {version::rule_fact::jobs_waiting, "jobs_waiting"},
        {version::rule_fact::earliest_deadline_s, "earliest_deadline_s"},
        {version::rule_fact::urgent_demand, "urgent_demand"},
        {version::rule_fact::table_down, "table_down"},
        {version::rule_fact::hour, "hour"},
        {version::rule_fact::service_healthy, "service_healthy"},
        {version::rule_fact::pool_healthy, "pool_healthy"},
    }};
};

} // namespace plantaindoor
