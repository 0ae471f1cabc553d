#include "plantaindoor/request/router.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::request {

namespace {

/// Near targets are preferred until this part of their slots is in use, and beyond it while they
/// are less loaded than the far ones.
constexpr double near_load_limit = 0.75;

double load_of(const slot_load& load)
{
    return load.slots == 0 ? 1.0
                           : static_cast<double>(load.in_use) / static_cast<double>(load.slots);
}

template<class Value>
bool contains(const std::vector<Value>& values, const Value& value)
{
    return std::ranges::find(values, value) != values.end();
}

} // namespace

router::router(const router_options& options, std::unique_ptr<slot_shares> shares)
    : m_options(options), m_shares(std::move(shares)), m_random(options.seed)
{
}

std::uint64_t router::next_random()
{
    // splitmix64
    m_random += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_random;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

bool router::excludes(const tried_targets& excluded, const target_state& target) const
{
    return contains(excluded.instances, target.id) || contains(excluded.racks, target.rack);
}

bool router::racks_matter(const service_routes& routes, const tried_targets& tried) const
{
    std::size_t usable = 0;
    std::size_t in_racks = 0;
    for (const std::size_t pool : routes.pools) {
        usable += m_pools[pool].usable();
        for (auto rack = tried.racks.begin(); rack != tried.racks.end(); ++rack) {
            if (std::find(tried.racks.begin(), rack, *rack) == rack) {
                in_racks += m_pools[pool].usable_in(*rack);
            }
        }
    }
    return usable > in_racks;
}

std::optional<target_index> router::sample(const std::vector<target_index>& list,
                                           const tried_targets& excluded)
{
    if (list.empty()) {
        return std::nullopt;
    }
    // Ends after as many steps as targets are excluded.
    const std::size_t start = next_random() % list.size();
    for (std::size_t i = 0; i < list.size(); ++i) {
        const target_index candidate = list[(start + i) % list.size()];
        if (!excludes(excluded, m_targets[candidate])) {
            return candidate;
        }
    }
    return std::nullopt;
}

target_index router::less_loaded(target_index a, target_index b) const
{
    const target_state& first = m_targets[a];
    const target_state& second = m_targets[b];
    const std::uint64_t first_load = std::uint64_t{first.in_progress} * second.share;
    const std::uint64_t second_load = std::uint64_t{second.in_progress} * first.share;
    if (first_load != second_load) {
        return first_load < second_load ? a : b;
    }
    return first.health.failures() <= second.health.failures() ? a : b;
}

std::optional<target_index> router::pick(const target_pool& pool, target_tier tier,
                                         const tried_targets& excluded)
{
    const auto first = sample(pool.tier(tier), excluded);
    if (!first) {
        return std::nullopt;
    }
    return less_loaded(*first, *sample(pool.tier(tier), excluded));
}

std::optional<target_index> router::pick_healthy(const target_pool& pool,
                                                 const tried_targets& excluded)
{
    const double near_load = load_of(pool.near_load());
    const bool near_first = near_load < near_load_limit || near_load < load_of(pool.far_load());
    const target_tier first = near_first ? target_tier::near : target_tier::far;
    const target_tier second = near_first ? target_tier::far : target_tier::near;
    const auto found = pick(pool, first, excluded);
    return found ? found : pick(pool, second, excluded);
}

bool router::may_probe(const target_state& target, const route_query& query,
                       nanoseconds overdue) const
{
    // Requests that were given up may still fill it.
    const bool has_room = target.in_progress < std::max(target.share, 1U);
    const bool asked =
        query.idempotent || target.ejected_slow || overdue >= m_options.probe_patience;
    return has_room && asked && !excludes(*query.tried, target);
}

std::optional<target_index> router::due_probe(const service_routes& routes,
                                              const route_query& query, time_point now) const
{
    for (const std::size_t index : routes.pools) {
        const target_pool& pool = m_pools[index];
        if (pool.probing() > 0) {
            continue;
        }
        for (const auto& [due, target] : pool.probes()) {
            if (due > now) {
                break;
            }
            if (may_probe(m_targets[target], query, now - due)) {
                return target;
            }
        }
    }
    return std::nullopt;
}

std::optional<target_index> router::pick_any(const service_routes& routes, const route_query& query,
                                             const tried_targets& excluded)
{
    std::optional<target_index> best;
    std::size_t healthy = 0;
    for (const std::size_t pool : routes.pools) {
        healthy += m_pools[pool].healthy();
        const auto found = pick_healthy(m_pools[pool], excluded);
        if (found) {
            best = best ? less_loaded(*best, *found) : *found;
        }
    }
    if (best || (!query.idempotent && healthy > 0)) {
        return best;
    }
    for (const std::size_t pool : routes.pools) {
        const auto found = pick(m_pools[pool], target_tier::suspect, excluded);
        if (found) {
            best = best ? less_loaded(*best, *found) : *found;
        }
    }
    return best;
}

std::optional<target_index> router::choose(const route_query& query, time_point now)
{
    const auto service = m_services.find(query.service);
    if (service == m_services.end()) {
        return std::nullopt;
    }
    const service_routes& routes = service->second;
    const auto probe = due_probe(routes, query, now);
    if (probe) {
        change(*probe, [](target_state& target) {
            target.probing = true;
            ++target.in_progress;
        });
        return probe;
    }
    tried_targets instances_only;
    const tried_targets* excluded = query.tried;
    if (!excluded->racks.empty() && !racks_matter(routes, *excluded)) {
        instances_only.instances = excluded->instances;
        excluded = &instances_only;
    }
    const auto chosen = pick_any(routes, query, *excluded);
    if (chosen) {
        const target_state& target = m_targets[*chosen];
        m_pools[target.pool].set_load(m_targets, *chosen, target.share, target.in_progress + 1);
    }
    return chosen;
}

void router::free_slot(target_index index)
{
    const target_state& target = m_targets[index];
    m_pools[target.pool].set_load(m_targets, index, target.share, target.in_progress - 1);
}

void router::end_attempt(target_index index, const service_id& service, attempt_result result,
                         nanoseconds duration, time_point now)
{
    target_state& target = m_targets[index];
    double slowness = 1;
    const auto routes = m_services.find(service);
    if (result == attempt_result::answered && routes != m_services.end()) {
        usual_duration& usual = routes->second.usual;
        slowness = usual.times_usual(duration);
        usual.add(duration);
    }
    if (result == attempt_result::refused) {
        m_shares->refused(target.id, now);
        set_share(index);
    }
    else if (is_telling(result)) {
        m_shares->taken(target.id, now);
    }
    if (target.probing) {
        end_probe(index, result, slowness, now);
        return;
    }
    if (is_telling(result) && target.usable()) {
        target.health.add(result, slowness);
        judge(index, now);
    }
}

bool router::has_untried(const service_id& service, const tried_targets& tried) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return false;
    }
    std::size_t usable = 0;
    for (const std::size_t pool : found->second.pools) {
        usable += m_pools[pool].usable();
    }
    for (auto id = tried.instances.begin(); id != tried.instances.end(); ++id) {
        const auto index = find(*id);
        const bool first = std::find(tried.instances.begin(), id, *id) == id;
        if (first && index && m_targets[*index].usable() &&
            contains(found->second.pools, m_targets[*index].pool)) {
            --usable;
        }
    }
    return usable > 0;
}

bool router::knows(const service_id& service) const
{
    return m_services.contains(service);
}

service_capacity router::capacity(const service_id& service) const
{
    service_capacity result;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return result;
    }
    for (const std::size_t pool : found->second.pools) {
        const auto slots = static_cast<std::uint32_t>(m_pools[pool].slots());
        result.slots += slots;
        result.in_use += slots - static_cast<std::uint32_t>(m_pools[pool].free_slots());
    }
    return result;
}

std::optional<target_index> router::find(const instance_id& id) const
{
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<service_id>& router::services_at(target_index index) const
{
    return m_pool_services[m_targets[index].pool];
}

std::vector<instance_id> router::busy_targets() const
{
    std::vector<instance_id> busy;
    for (const target_state& target : m_targets) {
        if (target.in_progress > 0) {
            busy.push_back(target.id);
        }
    }
    std::ranges::sort(busy);
    return busy;
}

std::vector<service_ejections> router::ejections() const
{
    std::vector<std::size_t> by_pool(m_pools.size());
    for (const target_state& target : m_targets) {
        by_pool[target.pool] += target.ejected && target.admitted ? 1 : 0;
    }
    std::vector<service_ejections> result;
    for (const auto& [id, routes] : m_services) {
        service_ejections service{.service = id, .ejections = routes.ejections};
        for (const std::size_t pool : routes.pools) {
            service.ejected += by_pool[pool];
        }
        result.push_back(std::move(service));
    }
    std::ranges::sort(result, {}, &service_ejections::service);
    return result;
}

std::vector<instance_id> router::ejected_targets() const
{
    std::vector<instance_id> ejected;
    for (const target_state& target : m_targets) {
        if (target.ejected && target.admitted) {
            ejected.push_back(target.id);
        }
    }
    std::ranges::sort(ejected);
    return ejected;
}

} // namespace plantaindoor::request
