// The operators' fleet file: checked, then turned into the changes that make the present fleet
// match.
#pragma once

#include "plantaindoor/common/document.hpp"
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/version/delta.hpp"

#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::version {

/// What a fleet file asks for. Waves, states and loans are no part of it.
struct fleet_document {
    /// The version that the operator edited; an apply against another one is refused.
    std::optional<version_number> edited;
    std::vector<team> teams;
    std::vector<pool> pools;
    std::vector<service> services;
    std::vector<instance> instances;
    std::vector<rule> rules;
};

/// The operator edited another version than the newest; nothing was changed.
class stale_edit_error : public error {
public:
    stale_edit_error(version_number edited, version_number newest, const std::string& difference)
        : error("stale-edit",
                "version " + std::to_string(edited) + " was edited, but version " +
                    std::to_string(newest) + " is in force",
                {{"edited", std::to_string(edited)},
                 {"newest", std::to_string(newest)},
                 {"difference", difference}})
    {
    }
};

/// A fleet file puts an instance into another pool; that is done by a move.
class pool_change_error : public error {
public:
    pool_change_error(const instance_id& instance, const pool_id& now, const pool_id& asked)
        : error("pool-change",
                "instance \"" + instance.str() + "\" is in pool \"" + now.str() +
                    "\"; use a move to bring it to \"" + asked.str() + "\"",
                {{"instance", instance.str()}, {"pool", now.str()}, {"asked", asked.str()}})
    {
    }
};

/// A service's budget asks for more instances than its pools have.
class budget_too_large_error : public error {
public:
    budget_too_large_error(const service_id& service, std::uint32_t minimum, std::size_t instances)
        : error("budget-too-large",
                "service \"" + service.str() + "\" asks for " + std::to_string(minimum) +
                    " instances, and its pools have " + std::to_string(instances),
                {{"service", service.str()},
                 {"minimum", std::to_string(minimum)},
                 {"instances", std::to_string(instances)}})
    {
    }
};

/// An instance that is planned out or still admitted can't be removed by a file.
class instance_in_use_error : public error {
public:
    explicit instance_in_use_error(const instance_id& instance)
        : error("instance-in-use",
                "instance \"" + instance.str() + "\" must be drained and stopped before removal",
                {{"instance", instance.str()}})
    {
    }
};

/// Reads a fleet file. Throws document_error with every fault. Thread-safe.
[[nodiscard]] fleet_document parse_fleet_document(const std::string& text, const std::string& file);

/// Reads the rules of a fleet file, or of a file with nothing but rules; the names in the latter
/// are not checked. Throws document_error with every fault. Thread-safe.
[[nodiscard]] std::vector<rule> parse_rules(const std::string& text, const std::string& file);

/// The changes that make the fleet match the document; empty when it does already. Throws
/// stale_edit_error, pool_change_error, budget_too_large_error or instance_in_use_error.
/// Thread-safe.
[[nodiscard]] std::vector<change> changes_to_match(const fleet& present,
                                                   const fleet_document& wanted);

/// One line for each change, for operators: "put service spell". Thread-safe.
[[nodiscard]] std::string describe(const change& each);
[[nodiscard]] std::string describe(const std::vector<change>& changes);

/// The fleet as a file that can be edited and applied. Thread-safe.
[[nodiscard]] std::string to_fleet_document(const fleet& present);

} // namespace plantaindoor::version
