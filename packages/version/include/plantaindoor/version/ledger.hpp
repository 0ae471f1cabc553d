// How many instances each service may lose to planned work: every drain, stop, reboot, move and
// loan is judged against this ledger of the version that it is appended to.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::version {

/// Instances that the platform does not list as live, whatever the plan says of them.
using lost_instances = std::set<instance_id>;

/// One service's figures at one version.
struct service_figures {
    service_id service;
    /// Instances in the service's pools, in any state.
    std::uint32_t instances = 0;
    /// Instances that are admitted and not lost.
    std::uint32_t admitted = 0;
    /// Instances that are draining or stopped.
    std::uint32_t out = 0;
    /// The budget in instances.
    std::uint32_t budget = 0;
    /// Admitted instances in the largest failure domain that the budget has to survive; else zero.
    std::uint32_t largest_domain = 0;

    /// Instances that planned work may still take; negative when the budget is broken.
    [[nodiscard]] std::int64_t spare() const noexcept
    {
        return std::int64_t{admitted} - largest_domain - budget;
    }

    friend bool operator==(const service_figures&, const service_figures&) = default;
};

/// Planned work would take a service below its budget.
class budget_refusal : public error {
public:
    /// `asked` is the number of admitted instances that the work would take.
    budget_refusal(const service_figures& figures, std::uint32_t asked);

    [[nodiscard]] const service_figures& figures() const noexcept { return m_figures; }

private:
    service_figures m_figures;
};

/// A service's budget can't be met even with every instance admitted.
class budget_larger_than_pool_error : public error {
public:
    explicit budget_larger_than_pool_error(const service_figures& figures);
};

/// Counts of every service, with instances taken out and put back one by one. Each query costs the
/// number of services on the instance's pool. Value type; not synchronised.
class ledger {
public:
    /// Counts the fleet's instances. Keeps no reference to its arguments.
    explicit ledger(const fleet& whole, lost_instances lost = {});

    /// Whether the instance counts as healthy: admitted, and not lost.
    [[nodiscard]] bool healthy(const instance& subject) const;
    /// Whether no service falls below its budget without this instance.
    [[nodiscard]] bool may_take_out(const instance& subject) const;
    /// Whether no service falls below its budget without all of these.
    [[nodiscard]] bool may_take_out_set(std::span<const instance* const> subjects) const;
    /// Throws budget_refusal for the first service that can't spare the instance.
    void require_take_out(const instance& subject) const;

    /// Counts an instance as out. Unhealthy instances change nothing.
    void take_out(const instance& subject);
    /// Counts an instance that take_out() counted as admitted again.
    void put_back(const instance& subject);

    /// All services' figures, in order of id.
    [[nodiscard]] std::vector<service_figures> figures() const;
    /// One service's figures. Throws not_found_error.
    [[nodiscard]] service_figures figures_of(const service_id& service) const;
    /// The services that the pool's instances serve.
    [[nodiscard]] std::vector<service_id> services_of(const pool_id& pool) const;
    /// The least that any service of the pool can spare; nothing where it serves none.
    [[nodiscard]] std::optional<std::int64_t> spare_of(const pool_id& pool) const;

private:
    struct account {
        service_figures figures;
        failure_domain survive = failure_domain::none;
        std::map<std::string, std::uint32_t> admitted_by_domain;
    };

    void count(account& into, const instance& subject);
    void add(account& into, const instance& subject, std::int32_t difference) const;
    [[nodiscard]] service_figures without(const account& from, const instance& subject) const;
    [[nodiscard]] const std::vector<std::size_t>& accounts_of(const pool_id& pool) const;

    lost_instances m_lost;
    std::vector<account> m_accounts;
    std::unordered_map<pool_id, std::vector<std::size_t>> m_by_pool;
};

/// Throws budget_refusal if a planned step lowers a service's spare instances below zero.
/// Thread-safe.
void require_budgets(const fleet& before, const fleet& after, const lost_instances& lost);

/// Throws budget_larger_than_pool_error if the service's budget asks for more than its pools hold.
/// Thread-safe.
void require_possible_budget(const fleet& whole, const service_id& service);

} // namespace plantaindoor::version
