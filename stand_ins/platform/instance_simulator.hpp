// Simulates the platform's instances: their actual state, the lagging list, and reboots.
#pragma once

#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::stand_in {

/// The result of a fenced operation.
enum class operation_result {
    started,
    already_accepted, ///< the operation id was accepted before
    stale_epoch,
    unknown_subject,
};

/// Accepts each operation id once, and no epoch older than the newest of its subject.
class operation_fence {
public:
    operation_result admit(const std::string& operation, const std::string& subject,
                           std::uint64_t epoch)
    {
        if (is_accepted(operation)) {
            return operation_result::already_accepted;
        }
        std::uint64_t& newest = m_epochs[subject];
        if (epoch < newest) {
            return operation_result::stale_epoch;
        }
        newest = epoch;
        m_accepted.insert(operation);
        return operation_result::started;
    }

    [[nodiscard]] bool is_accepted(const std::string& operation) const
    {
        return m_accepted.contains(operation);
    }

private:
    std::set<std::string> m_accepted;
    std::map<std::string, std::uint64_t> m_epochs;
};

/// Not synchronised. `now` must not decrease from call to call.
class instance_simulator {
public:
    /// Age of the list that list() returns.
    milliseconds lag{0};
    milliseconds reboot_time{1000};

    /// Sets the actual state; no value removes the instance from the list. Reboots are reported to
    /// `reboot_address`; an empty one leaves the address unchanged.
    void set(const std::string& id, listed_role role, std::optional<listed_state> state,
             const std::string& reboot_address, time_point now)
    {
        std::erase_if(m_changes,
                      [&](const auto& each) { return each.first > now && each.second.id == id; });
        m_changes.emplace(now, state_change{.id = id, .role = role, .state = state});
        instance_record& record = m_instances[id];
        record.role = role;
        if (!reboot_address.empty()) {
            record.reboot_address = reboot_address;
        }
    }

    /// The list as it was `lag` ago.
    [[nodiscard]] std::vector<listed_instance> list(time_point now)
    {
        const auto end = m_changes.upper_bound(now - lag);
        for (auto each = m_changes.begin(); each != end; ++each) {
            apply_to_list(each->second);
        }
        m_changes.erase(m_changes.begin(), end);
        std::vector<listed_instance> all;
        for (const auto& [id, instance] : m_listed) {
            all.push_back(instance);
        }
        return all;
    }

    operation_result reboot(const std::string& id, const std::string& operation,
                            std::uint64_t epoch, time_point now)
    {
        const auto found = m_instances.find(id);
        if (found == m_instances.end()) {
            return operation_result::unknown_subject;
        }
        const operation_result result = m_fence.admit(operation, id, epoch);
        if (result == operation_result::started) {
            const listed_role role = found->second.role;
            set(id, role, listed_state::leaving, {}, now);
            m_changes.emplace(now + reboot_time,
                              state_change{.id = id, .role = role, .state = listed_state::live});
            found->second.boot_times.push_back(now + reboot_time);
        }
        return result;
    }

    /// One plus the number of completed reboots; no value for an unknown instance.
    [[nodiscard]] std::optional<std::uint64_t> boot_count(const std::string& id,
                                                          time_point now) const
    {
        const auto found = m_instances.find(id);
        if (found == m_instances.end()) {
            return std::nullopt;
        }
        std::uint64_t count = 1;
        for (const time_point boot_time : found->second.boot_times) {
            count += boot_time <= now ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::string reboot_address(const std::string& id) const
    {
        const auto found = m_instances.find(id);
        return found == m_instances.end() ? std::string() : found->second.reboot_address;
    }

private:
    struct state_change {
        std::string id;
        listed_role role = listed_role::target;
        std::optional<listed_state> state;
    };

    struct instance_record {
        listed_role role = listed_role::target;
        std::string reboot_address;
        std::vector<time_point> boot_times;
    };

    void apply_to_list(const state_change& each)
    {
        if (each.state) {
            m_listed.insert_or_assign(each.id, listed_instance{each.id, each.role, *each.state});
        }
        else {
            m_listed.erase(each.id);
        }
    }

    std::multimap<time_point, state_change> m_changes;
    std::map<std::string, listed_instance> m_listed;
    std::map<std::string, instance_record> m_instances;
    operation_fence m_fence;
};

} // namespace plantaindoor::stand_in
