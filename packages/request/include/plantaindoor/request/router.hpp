// Chooses the target of each request among those that may take new work, at a cost that doesn't
// follow the fleet's size, and ejects targets that fail or are slow. docs/design/routing.md holds
// the reasons.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/request/admission.hpp"
#include "plantaindoor/request/dispatcher.hpp"
#include "plantaindoor/request/slot_shares.hpp"
#include "plantaindoor/request/target_pool.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace plantaindoor::request {

struct router_options {
    availability_zone_id zone;
    std::uint64_t seed = 1;
    ejection_options ejection;
    /// A probe that has been due this long may also be a request that isn't idempotent.
    milliseconds probe_patience{10000};
};

struct route_query {
    service_id service;
    bool idempotent = false;
    const tried_targets* tried = nullptr;
};

/// Pure: time and seed are arguments. Not synchronised.
class router {
public:
    router(const router_options& options, std::unique_ptr<slot_shares> shares);

    /// Takes a new version; targets whose plan didn't change keep their health and load.
    void update(const version::fleet& fleet, time_point now);
    /// Replaces the targets that the platform shows as leaving.
    void set_leaving(std::set<instance_id> leaving);
    /// Live entries; each may open its part of a target's connections.
    void set_entries(const std::vector<entry_id>& live, time_point now);
    /// Takes changed shares of slots into account.
    void refresh_shares(time_point now);
    [[nodiscard]] slot_shares& shares() { return *m_shares; }

    /// Takes a free slot for the request; no value when there is none for it now.
    [[nodiscard]] std::optional<target_index> choose(const route_query& query, time_point now);
    /// Judges the target by an attempt's end; its slot stays taken. `duration` is how long the
    /// attempt took.
    void end_attempt(target_index target, const service_id& service, attempt_result result,
                     nanoseconds duration, time_point now);
    /// Frees the slot of an attempt that has ended.
    void free_slot(target_index target);

    /// Whether a target that was not tried may take work, now or once a slot is free.
    [[nodiscard]] bool has_untried(const service_id& service, const tried_targets& tried) const;
    [[nodiscard]] bool knows(const service_id& service) const;
    [[nodiscard]] service_capacity capacity(const service_id& service) const;
    [[nodiscard]] const target_state& target(target_index index) const { return m_targets[index]; }
    [[nodiscard]] std::optional<target_index> find(const instance_id& id) const;
    /// Services that use a pool of the target.
    [[nodiscard]] const std::vector<service_id>& services_at(target_index index) const;
    [[nodiscard]] std::vector<instance_id> busy_targets() const;
    [[nodiscard]] std::vector<instance_id> ejected_targets() const;
    [[nodiscard]] std::vector<service_ejections> ejections() const;

private:
    struct service_routes {
        std::vector<std::size_t> pools;
        version::availability_budget budget;
        usual_duration usual;
        std::uint64_t ejections = 0;
    };
    struct domain_counts {
        std::size_t size = 0;
        std::size_t admitted = 0;
        std::size_t usable = 0;
        /// Usable targets in the largest domain that the budget has to survive.
        std::size_t largest_domain = 0;
    };

    template<class Change>
    void change(target_index index, Change apply);
    void take_instance(const version::instance& instance, const slot_place& place);
    void describe(target_state& target, const version::instance& instance, const slot_place& place);
    [[nodiscard]] bool is_described(const target_state& target, const version::instance& instance,
                                    const slot_place& place) const;
    void forget_missing(const version::fleet& fleet);
    void take_services(const version::fleet& fleet);
    std::size_t pool_index(const pool_id& id);
    target_index new_target();
    void set_share(target_index index);
    [[nodiscard]] std::uint32_t share_of(const target_state& target) const;

    [[nodiscard]] bool racks_matter(const service_routes& routes, const tried_targets& tried) const;
    [[nodiscard]] bool may_probe(const target_state& target, const route_query& query,
                                 nanoseconds overdue) const;
    [[nodiscard]] std::optional<target_index>
    due_probe(const service_routes& routes, const route_query& query, time_point now) const;
    [[nodiscard]] std::optional<target_index> pick_healthy(const target_pool& pool,
                                                           const tried_targets& excluded);
    [[nodiscard]] std::optional<target_index> pick(const target_pool& pool, target_tier tier,
                                                   const tried_targets& excluded);
    [[nodiscard]] std::optional<target_index> sample(const std::vector<target_index>& list,
                                                     const tried_targets& excluded);
    [[nodiscard]] target_index less_loaded(target_index a, target_index b) const;
    [[nodiscard]] std::optional<target_index>
    pick_any(const service_routes& routes, const route_query& query, const tried_targets& excluded);
    [[nodiscard]] bool excludes(const tried_targets& excluded, const target_state& target) const;

    void judge(target_index index, time_point now);
    void end_probe(target_index index, attempt_result result, double slowness, time_point now);
    void eject(target_index index, time_point now);
    [[nodiscard]] bool may_eject(target_index index) const;
    [[nodiscard]] domain_counts counts(const service_routes& routes,
                                       const target_state* without) const;
    [[nodiscard]] static bool within_budget(const version::availability_budget& budget,
                                            const domain_counts& counts);
    [[nodiscard]] std::optional<target_index> earliest_probe(const service_routes& routes) const;
    void restore_budgets();
    std::uint64_t next_random();

    router_options m_options;
    std::unique_ptr<slot_shares> m_shares;
    target_pool::store m_targets;
    std::vector<target_index> m_free_targets;
    std::unordered_map<instance_id, target_index> m_by_id;
    std::vector<target_pool> m_pools;
    std::vector<std::vector<service_id>> m_pool_services;
    std::unordered_map<pool_id, std::size_t> m_pool_by_id;
    std::unordered_map<service_id, service_routes> m_services;
    std::set<instance_id> m_leaving;
    std::size_t m_entries = 1;
    std::uint64_t m_random;
};

template<class Change>
void router::change(target_index index, Change apply)
{
    target_state& target = m_targets[index];
    if (target.listed) {
        m_pools[target.pool].remove(m_targets, index);
    }
    apply(target);
    if (target.listed) {
        m_pools[target.pool].add(m_targets, index);
    }
}

} // namespace plantaindoor::request
