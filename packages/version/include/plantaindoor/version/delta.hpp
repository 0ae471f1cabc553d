// One accepted step from a version to the next: a list of typed changes, and applying it.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <string>
#include <variant>
#include <vector>

namespace plantaindoor::version {

/// Adds or replaces a whole item.
struct put_team {
    team value;
    friend bool operator==(const put_team&, const put_team&) = default;
};
struct put_pool {
    pool value;
    friend bool operator==(const put_pool&, const put_pool&) = default;
};
struct put_service {
    service value;
    friend bool operator==(const put_service&, const put_service&) = default;
};
struct put_instance {
    instance value;
    friend bool operator==(const put_instance&, const put_instance&) = default;
};
struct put_wave {
    wave value;
    friend bool operator==(const put_wave&, const put_wave&) = default;
};
/// Replaces the whole ordered list of rules.
struct set_rules {
    std::vector<rule> value;
    friend bool operator==(const set_rules&, const set_rules&) = default;
};

/// Removes an item that must exist and must not be referred to any more.
struct remove_team {
    team_id id;
    friend bool operator==(const remove_team&, const remove_team&) = default;
};
struct remove_pool {
    pool_id id;
    friend bool operator==(const remove_pool&, const remove_pool&) = default;
};
struct remove_service {
    service_id id;
    friend bool operator==(const remove_service&, const remove_service&) = default;
};
struct remove_instance {
    instance_id id;
    friend bool operator==(const remove_instance&, const remove_instance&) = default;
};

/// Changes how an instance stands. Sets state_version to the delta's version.
struct set_instance_state {
    instance_id id;
    instance_state state = instance_state::admitted;
    /// The wave that planned the outage, or that has just finished with the instance.
    wave_id wave;
    /// Set when a wave has finished with the instance.
    std::optional<wall_time> maintained;
    /// Set for a drain that prepares a move.
    std::optional<planned_move> moving;
    /// Set when stopping for a reboot.
    std::uint64_t boots_before = 0;
    friend bool operator==(const set_instance_state&, const set_instance_state&) = default;
};

/// Moves an instance to another pool, for good or on loan. Sets state_version to the delta's
/// version and clears `moving`. The instance must be stopped or draining-and-confirmed; the planner
/// sees to that.
struct move_instance {
    instance_id id;
    pool_id pool;
    std::optional<loan> lent;
    friend bool operator==(const move_instance&, const move_instance&) = default;
};

using change =
    std::variant<put_team, put_pool, put_service, put_instance, put_wave, set_rules, remove_team,
                 remove_pool, remove_service, remove_instance, set_instance_state, move_instance>;

/// One accepted step. Applies only to version - 1.
struct delta {
    version_number version = 0;
    /// Who asked: "operator:<name>", "wave:<id>", "rule:<id>", "entry:<id>".
    std::string author;
    std::string reason;
    wall_time accepted{};
    std::vector<change> changes;

    friend bool operator==(const delta&, const delta&) = default;
};

/// A delta was applied to a version that it doesn't follow.
class version_gap_error : public error {
public:
    version_gap_error(version_number have, version_number got)
        : error("version-gap",
                "version " + std::to_string(got) + " does not follow version " +
                    std::to_string(have),
                {{"have", std::to_string(have)}, {"got", std::to_string(got)}})
    {
    }
};

/// A change would leave a reference to something that doesn't exist.
class dangling_reference_error : public error {
public:
    dangling_reference_error(const std::string& from, const std::string& to)
        : error("dangling-reference", from + " refers to " + to + ", which does not exist",
                {{"from", from}, {"to", to}})
    {
    }
};

/// Applies one delta in place. Throws version_gap_error if it doesn't follow, not_found_error or
/// dangling_reference_error if it doesn't fit; the fleet is then unchanged. Not synchronised.
void apply(fleet& target, const delta& step);

/// A copy of the fleet with the delta applied. Same errors as apply(). Thread-safe.
[[nodiscard]] fleet_ptr applied(const fleet& base, const delta& step);

} // namespace plantaindoor::version
