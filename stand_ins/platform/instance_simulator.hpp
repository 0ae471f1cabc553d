// The platform's instances: their actual state, the lagging list, and reboots.
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

/// The outcome of a fenced operation.
enum class operation_answer {
    started,
    already_done, ///< the same operation id was accepted before
    stale_epoch,
    unknown_subject,
};

/// Accepts each operation id once, and no epoch older than the newest of its subject.
class operation_fence {
public:
    operation_answer admit(const std::string& operation, const std::string& subject,
                           std::uint64_t epoch)
    {
        if (done(operation)) {
            return operation_answer::already_done;
        }
        std::uint64_t& newest = m_epochs[subject];
        if (epoch < newest) {
            return operation_answer::stale_epoch;
        }
        newest = epoch;
        m_done.insert(operation);
        return operation_answer::started;
    }

    [[nodiscard]] bool done(const std::string& operation) const
    {
        return m_done.contains(operation);
    }

private:
    std::set<std::string> m_done;
    std::map<std::string, std::uint64_t> m_epochs;
};

/// Not synchronised. Time never goes back between calls.
class instance_board {
public:
    milliseconds lag{0};
    milliseconds reboot_time{1000};

    /// Sets the actual state; no state means that the instance is removed. Reboots are reported to
    /// `reboot_address`; an empty one leaves the address unchanged.
    void set(const std::string& id, listed_role role, std::optional<listed_state> state,
             const std::string& reboot_address, time_point now)
    {
        std::erase_if(m_steps,
                      [&](const auto& each) { return each.first > now && each.second.id == id; });
        m_steps.emplace(now, step{.id = id, .role = role, .state = state});
        known& subject = m_known[id];
        subject.role = role;
        if (!reboot_address.empty()) {
            subject.reboot_address = reboot_address;
        }
    }

    /// The list as it was `lag` ago.
    [[nodiscard]] std::vector<listed_instance> list(time_point now)
    {
        const auto end = m_steps.upper_bound(now - lag);
        for (auto each = m_steps.begin(); each != end; ++each) {
            apply_to_list(each->second);
        }
        m_steps.erase(m_steps.begin(), end);
        std::vector<listed_instance> all;
        for (const auto& [id, shown] : m_listed) {
            all.push_back(shown);
        }
        return all;
    }

    operation_answer reboot(const std::string& id, const std::string& operation,
                            std::uint64_t epoch, time_point now)
    {
        const auto found = m_known.find(id);
        if (found == m_known.end()) {
            return operation_answer::unknown_subject;
        }
        const operation_answer answer = m_fence.admit(operation, id, epoch);
        if (answer == operation_answer::started) {
            const listed_role role = found->second.role;
            set(id, role, listed_state::leaving, {}, now);
            m_steps.emplace(now + reboot_time,
                            step{.id = id, .role = role, .state = listed_state::live});
            found->second.boots.push_back(now + reboot_time);
        }
        return answer;
    }

    /// One plus the number of completed reboots; no value for an unknown instance.
    [[nodiscard]] std::optional<std::uint64_t> boot_count(const std::string& id,
                                                          time_point now) const
    {
        const auto found = m_known.find(id);
        if (found == m_known.end()) {
            return std::nullopt;
        }
        std::uint64_t count = 1;
        for (const time_point back : found->second.boots) {
            count += back <= now ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::string reboot_address(const std::string& id) const
    {
        const auto found = m_known.find(id);
        return found == m_known.end() ? std::string() : found->second.reboot_address;
    }

private:
    struct step {
        std::string id;
        listed_role role = listed_role::target;
        std::optional<listed_state> state;
    };

    struct known {
        listed_role role = listed_role::target;
        std::string reboot_address;
        std::vector<time_point> boots;
    };

    void apply_to_list(const step& each)
    {
        if (each.state) {
            m_listed.insert_or_assign(each.id, listed_instance{each.id, each.role, *each.state});
        }
        else {
            m_listed.erase(each.id);
        }
    }

    std::multimap<time_point, step> m_steps;
    std::map<std::string, listed_instance> m_listed;
    std::map<std::string, known> m_known;
    operation_fence m_fence;
};

} // namespace plantaindoor::stand_in
