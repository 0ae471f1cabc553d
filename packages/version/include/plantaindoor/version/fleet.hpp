// One accepted version of the configuration and the fleet's planned state: an immutable snapshot.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::version {

/// Number of an accepted change; the empty fleet is version 0.
using version_number = std::uint64_t;

/// How an instance stands in the plan. Only admitted instances receive new work.
enum class instance_state {
    admitted,    ///< serves requests
    draining,    ///< planned out: no new work, what is in progress finishes
    stopped,     ///< planned out: every entry confirmed, being rebooted
    failed,      ///< unplanned loss
    quarantined, ///< fails what it starts; no new work until probed or released
};

/// The class of a request or job, highest first.
enum class priority { urgent, interactive, background };

/// A failure domain that a budget may have to survive.
enum class failure_domain { none, rack, availability_zone };

enum class budget_unit { count, percent };

enum class wave_state { running, paused, aborted, finished };

/// A term for which an instance serves another pool than its own.
struct loan {
    pool_id home;
    /// When it has to be drained and returned.
    wall_time until{};

    friend bool operator==(const loan&, const loan&) = default;
};

/// Where a draining instance goes once no request is in progress there.
struct planned_move {
    pool_id to;
    /// Set for a loan; a move for good has none.
    std::optional<loan> lent;

    friend bool operator==(const planned_move&, const planned_move&) = default;
};

/// A worker or other target, in exactly one pool.
struct instance {
    instance_id id;
    pool_id pool;
    availability_zone_id zone;
    rack_id rack;
    /// Numeric address and port towards the target.
    std::string address;
    std::uint16_t port = 0;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    double processors = 0;
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    instance_state state = instance_state::admitted;
    /// The version that last changed `state` or `pool`; names one drain without doubt.
    version_number state_version = 0;
    /// The wave that planned the present outage; empty for an operator's drain. A failed instance
    /// keeps the wave that it failed in.
    wave_id outage_wave;
    /// The move that the present drain prepares.
    std::optional<planned_move> moving;
    /// Boots counted before the present stop: the reboot is over when the platform counts more.
    std::uint64_t boots_before = 0;
    /// The last wave that finished with this instance, and when.
    wave_id last_wave;
    wall_time maintained{};
    std::optional<loan> lent;

    friend bool operator==(const instance&, const instance&) = default;
};

/// How much of a service must stay admitted while work is planned.
struct availability_budget {
    budget_unit unit = budget_unit::count;
    /// Instances, or percent of the service's instances (rounded up).
    std::uint32_t minimum = 1;
    /// The minimum must hold even after losing the largest of these domains.
    failure_domain survive = failure_domain::none;

    friend bool operator==(const availability_budget&, const availability_budget&) = default;
};

/// What callers address; served by every admitted instance of its pools.
struct service {
    service_id id;
    team_id team;
    std::vector<pool_id> pools;
    availability_budget budget;
    priority default_priority = priority::interactive;
    bool idempotent = false;
    milliseconds default_deadline{2000};
    milliseconds longest_request{30000};
    /// Statuses by which this service's targets declare that they refused before starting.
    std::vector<std::uint16_t> refusal_statuses;

    friend bool operator==(const service&, const service&) = default;
};

/// A named set of instances.
struct pool {
    pool_id id;
    /// Instances held back for urgent work and repairs.
    std::uint32_t reserve = 0;
    /// Whether its instances may be lent to other pools.
    bool lends = false;

    friend bool operator==(const pool&, const pool&) = default;
};

/// A customer's team and its quotas. Zero means without limit.
struct team {
    team_id id;
    std::uint32_t max_in_progress = 0;
    std::uint32_t max_requests_per_second = 0;
    double max_job_processors = 0;
    std::uint32_t max_job_accelerators = 0;

    friend bool operator==(const team&, const team&) = default;
};

/// A maintenance wave over some pools; its progress is read off the instances.
struct wave {
    wave_id id;
    std::vector<pool_id> pools;
    wave_state state = wave_state::running;
    /// Most instances out at once; zero leaves it to the budgets.
    std::uint32_t max_parallel = 0;
    /// Why it was paused or aborted, for operators.
    std::string reason;
    wall_time started{};

    friend bool operator==(const wave&, const wave&) = default;
};

/// One when-then rule as written; compiled once per version.
struct rule {
    rule_id id;
    /// The rule's YAML text.
    std::string text;

    friend bool operator==(const rule&, const rule&) = default;
};

/// The whole configuration and planned state at one version. Immutable once shared; then
/// thread-safe.
struct fleet {
    version_number version = 0;
    std::map<team_id, team> teams;
    std::map<pool_id, pool> pools;
    std::map<service_id, service> services;
    std::map<instance_id, instance> instances;
    std::map<wave_id, wave> waves;
    /// In the order in which they are tried.
    std::vector<rule> rules;

    friend bool operator==(const fleet&, const fleet&) = default;
};

using fleet_ptr = std::shared_ptr<const fleet>;

} // namespace plantaindoor::version

namespace plantaindoor {

template<>
struct enum_names<version::instance_state> {
    static constexpr std::array<enum_name<version::instance_state>, 5> table{{
        {version::instance_state::admitted, "admitted"},
        {version::instance_state::draining, "draining"},
        {version::instance_state::stopped, "stopped"},
        {version::instance_state::failed, "failed"},
        {version::instance_state::quarantined, "quarantined"},
    }};
};

template<>
struct enum_names<version::priority> {
    static constexpr std::array<enum_name<version::priority>, 3> table{{
        {version::priority::urgent, "urgent"},
        {version::priority::interactive, "interactive"},
        {version::priority::background, "background"},
    }};
};

template<>
struct enum_names<version::failure_domain> {
    static constexpr std::array<enum_name<version::failure_domain>, 3> table{{
        {version::failure_domain::none, "none"},
        {version::failure_domain::rack, "rack"},
        {version::failure_domain::availability_zone, "availability-zone"},
    }};
};

template<>
struct enum_names<version::budget_unit> {
    static constexpr std::array<enum_name<version::budget_unit>, 2> table{{
        {version::budget_unit::count, "count"},
        {version::budget_unit::percent, "percent"},
    }};
};

template<>
struct enum_names<version::wave_state> {
    static constexpr std::array<enum_name<version::wave_state>, 4> table{{
        {version::wave_state::running, "running"},
        {version::wave_state::paused, "paused"},
        {version::wave_state::aborted, "aborted"},
        {version::wave_state::finished, "finished"},
    }};
};

} // namespace plantaindoor
