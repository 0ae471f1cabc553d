#include "plantaindoor/process/wave_planner.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace plantaindoor::process {

using version::failure_domain;
using version::fleet;
using version::instance;
using version::instance_state;
using version::ledger;
using version::service_figures;
using version::wave;
using version::wave_state;

namespace {

bool planned_out(const instance& each)
{
    return each.state == instance_state::draining || each.state == instance_state::stopped;
}

std::string domain_of(const instance& each, failure_domain kind)
{
    if (kind == failure_domain::none) {
        return {};
    }
    if (kind == failure_domain::availability_zone) {
        return each.zone.str();
    }
    return each.zone.str() + "/" + each.rack.str();
}

/// One service as far as the wave concerns it.
struct service_load {
    std::uint32_t waiting = 0;
    std::uint32_t out = 0;
    std::int64_t spare = 0;
    std::map<std::string, std::uint32_t> waiting_by_domain;
    /// The domain that waves have instances out in.
    std::optional<std::string> open_domain;

    [[nodiscard]] std::uint32_t capacity() const
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(1, spare + out));
    }
    [[nodiscard]] double rounds() const { return static_cast<double>(waiting) / capacity(); }
};

/// One pool's instances that are still to be taken, by domain, those of one rack together.
struct pool_load {
    pool_id id;
    std::vector<service_load*> services;
    std::map<std::string, std::vector<const instance*>> waiting;
    std::uint32_t waiting_count = 0;
    std::uint32_t out = 0;
    std::uint32_t arriving = 0;
    std::uint32_t lent = 0;
    bool blocked = false;

    [[nodiscard]] double urgency() const
    {
        double most = 0;
        for (const service_load* each : services) {
            most = std::max(most, each->rounds());
        }
        return most;
    }
};

/// One planning of one wave; lives for one call.
class planning {
public:
    planning(const wave_planner::options& how, const fleet& whole, const ledger& books,
             const wave& subject)
        : m_options(how), m_fleet(whole), m_books(books), m_trial(books), m_wave(subject)
    {
    }

    wave_plan run()
    {
        count_pools();
        count_instances();
        order_domains();
        estimate();
        find_below_budget();
        if (m_wave.state == wave_state::aborted) {
            undrain_all();
        }
        else {
            undrain_for_budgets();
        }
        if (m_wave.state == wave_state::running) {
            take_instances();
            propose_loans();
        }
        const wave_progress& seen = m_plan.progress;
        m_plan.finished = seen.waiting + seen.out + seen.elsewhere == 0;
        return std::move(m_plan);
    }

private:
    void count_pools()
    {
        for (const pool_id& id : m_wave.pools) {
            pool_load& load = m_pools[id];
            load.id = id;
            for (const service_id& service : m_books.services_of(id)) {
                load.services.push_back(&m_services[service]);
            }
        }
        for (const service_figures& each : m_books.figures()) {
            if (const auto found = m_services.find(each.service); found != m_services.end()) {
                found->second.spare = each.spare();
            }
        }
    }

    void count_instances()
    {
        for (const auto& [id, each] : m_fleet.instances) {
            if (each.moving && m_pools.contains(each.moving->to)) {
                ++m_pools.at(each.moving->to).arriving;
            }
            note_open_domain(each);
            if (const auto found = m_pools.find(each.pool); found != m_pools.end()) {
                count_instance(found->second, each);
            }
        }
    }

    void note_open_domain(const instance& each)
    {
        if (!planned_out(each) || each.outage_wave.empty()) {
            return;
        }
        for (const service_id& id : m_books.services_of(each.pool)) {
            if (const auto found = m_services.find(id); found != m_services.end()) {
                found->second.open_domain = domain_of(each, m_options.one_at_a_time);
                ++found->second.out;
            }
        }
    }

    void count_instance(pool_load& load, const instance& each)
    {
        wave_progress& seen = m_plan.progress;
        ++seen.instances;
        load.lent += each.lent ? 1 : 0;
        if (each.last_wave == m_wave.id) {
            ++seen.done;
        }
        else if (planned_out(each) && each.outage_wave == m_wave.id) {
            ++seen.out;
            ++load.out;
            if (each.state == instance_state::draining) {
                m_undoable.push_back(&each);
            }
        }
        else if (each.state == instance_state::failed) {
            ++seen.failed;
        }
        else if (m_books.healthy(each)) {
            ++seen.waiting;
            add_waiting(load, each);
        }
        else {
            ++seen.elsewhere;
        }
    }

    void add_waiting(pool_load& load, const instance& each)
    {
        const std::string domain = domain_of(each, m_options.one_at_a_time);
        load.waiting[domain].push_back(&each);
        ++load.waiting_count;
        ++m_domains[domain];
        for (service_load* service : load.services) {
            ++service->waiting;
            ++service->waiting_by_domain[domain];
        }
    }

    /// The same order at every entry, so that pools that share a service open the same domain.
    void order_domains()
    {
        for (const auto& [domain, waiting] : m_domains) {
            m_domain_order.push_back(domain);
        }
        std::stable_sort(m_domain_order.begin(), m_domain_order.end(),
                         [&](const std::string& a, const std::string& b) {
                             return m_domains.at(a) > m_domains.at(b);
                         });
        for (auto& [id, load] : m_pools) {
            for (auto& [domain, waiting] : load.waiting) {
                std::stable_sort(
                    waiting.begin(), waiting.end(),
                    [](const instance* a, const instance* b) { return a->rack > b->rack; });
            }
        }
    }

    void estimate()
    {
        std::uint32_t most = 0;
        for (const auto& [id, service] : m_services) {
            std::uint32_t rounds = service.out > 0 ? 1 : 0;
            for (const auto& [domain, waiting] : service.waiting_by_domain) {
                rounds += (waiting + service.capacity() - 1) / service.capacity();
            }
            most = std::max(most, rounds);
        }
        m_plan.progress.rounds_left = most;
        m_plan.progress.estimate = m_options.expected_outage * most;
    }

    void find_below_budget()
    {
        for (const service_figures& each : m_books.figures()) {
            if (each.spare() < 0 && m_services.contains(each.service)) {
                m_plan.below_budget.push_back(each);
            }
        }
    }

    void undrain_all()
    {
        for (const instance* each : m_undoable) {
            m_plan.undrains.push_back(each->id);
        }
    }

    void undrain_for_budgets()
    {
        std::sort(m_undoable.begin(), m_undoable.end(), [](const instance* a, const instance* b) {
            return a->state_version > b->state_version;
        });
        std::map<service_id, std::int64_t> missing;
        for (const service_figures& each : m_plan.below_budget) {
            missing[each.service] = -each.spare();
        }
        for (const instance* each : m_undoable) {
            bool helps = false;
            for (const service_id& id : m_books.services_of(each->pool)) {
                const auto found = missing.find(id);
                helps = helps || (found != missing.end() && found->second > 0);
            }
            if (!helps) {
                continue;
            }
            m_plan.undrains.push_back(each->id);
            for (const service_id& id : m_books.services_of(each->pool)) {
                --missing[id];
            }
        }
    }

    void take_instances()
    {
        std::uint32_t out = m_plan.progress.out;
        while (m_wave.max_parallel == 0 || out < m_wave.max_parallel) {
            pool_load* next = most_urgent();
            if (next == nullptr) {
                return;
            }
            if (take_one(*next)) {
                ++out;
            }
            else {
                next->blocked = true;
            }
        }
    }

    pool_load* most_urgent()
    {
        pool_load* best = nullptr;
        for (auto& [id, load] : m_pools) {
            const bool able = !load.blocked && load.waiting_count > 0;
            if (able && (best == nullptr || load.urgency() > best->urgency())) {
                best = &load;
            }
        }
        return best;
    }

    bool take_one(pool_load& load)
    {
        const auto domain = domain_to_open(load);
        if (!domain) {
            return false;
        }
        std::vector<const instance*>& waiting = load.waiting.at(*domain);
        const instance& chosen = *waiting.back();
        if (!m_trial.may_take_out(chosen)) {
            return false;
        }
        m_trial.take_out(chosen);
        waiting.pop_back();
        --load.waiting_count;
        ++load.out;
        for (service_load* service : load.services) {
            --service->waiting;
            ++service->out;
            --service->spare;
            service->open_domain = *domain;
        }
        m_plan.drains.push_back(chosen.id);
        return true;
    }

    /// The domain that all of the pool's services allow and that has instances waiting.
    std::optional<std::string> domain_to_open(const pool_load& load) const
    {
        std::optional<std::string> open;
        for (const service_load* service : load.services) {
            if (!service->open_domain) {
                continue;
            }
            if (open && *open != *service->open_domain) {
                return std::nullopt;
            }
            open = service->open_domain;
        }
        for (const std::string& domain : m_domain_order) {
            const auto found = load.waiting.find(domain);
            const bool allowed = !open || *open == domain;
            if (allowed && found != load.waiting.end() && !found->second.empty()) {
                return domain;
            }
        }
        return std::nullopt;
    }

    void propose_loans()
    {
        for (auto& [id, load] : m_pools) {
            const std::int64_t spare = m_trial.spare_of(id).value_or(0);
            const bool held = load.out == 0 && load.waiting_count > 0;
            if (held) {
                m_plan.held.push_back(id);
            }
            std::uint32_t wanted =
                spare < 0 ? static_cast<std::uint32_t>(-spare)
                          : loans_worth_making(load.waiting_count,
                                               static_cast<std::uint32_t>(spare) + load.out,
                                               m_options.max_loans_per_pool, m_options.weights);
            wanted = std::min(wanted, m_options.max_loans_per_pool);
            for (std::uint32_t n = load.arriving + load.lent; n < wanted; ++n) {
                if (!propose_loan(load)) {
                    break;
                }
            }
        }
    }

    bool propose_loan(const pool_load& to)
    {
        const instance* best = nullptr;
        std::int64_t best_spare = 0;
        for (const auto& [id, each] : m_fleet.instances) {
            if (!may_lend(each, to)) {
                continue;
            }
            const std::int64_t spare =
                m_trial.spare_of(each.pool).value_or(std::numeric_limits<std::int32_t>::max());
            if (best == nullptr || spare > best_spare) {
                best = &each;
                best_spare = spare;
            }
        }
        if (best == nullptr) {
            return false;
        }
        m_trial.take_out(*best);
        m_promised[best->pool] += 1;
        m_promised_ids.insert(best->id);
        m_plan.loans.push_back({.id = best->id, .to = to.id});
        return true;
    }

    bool may_lend(const instance& each, const pool_load& to)
    {
        const auto lender = m_fleet.pools.find(each.pool);
        const bool able = each.pool != to.id && lender != m_fleet.pools.end() &&
                          lender->second.lends && !each.lent && m_books.healthy(each) &&
                          !m_promised_ids.contains(each.id) && m_trial.may_take_out(each);
        // A pool with instances of its own to maintain lends only where nothing else goes on, and
        // then keeps one to spare for them.
        const auto own = m_pools.find(each.pool);
        const bool busy = own != m_pools.end() && own->second.waiting_count > 0;
        const std::int64_t kept = busy ? 2 : 1;
        return able && (!busy || to.out == 0) &&
               m_trial.spare_of(each.pool).value_or(kept) >= kept &&
               admitted_in(each.pool) > lender->second.reserve + m_promised[each.pool];
    }

    std::uint32_t admitted_in(const pool_id& id)
    {
        if (m_admitted.empty()) {
            for (const auto& [unused, each] : m_fleet.instances) {
                m_admitted[each.pool] += m_books.healthy(each) ? 1 : 0;
            }
        }
        return m_admitted[id];
    }

    const wave_planner::options& m_options;
    const fleet& m_fleet;
    const ledger& m_books;
    /// The books with all that is planned so far.
    ledger m_trial;
    const wave& m_wave;
    wave_plan m_plan;
    std::map<service_id, service_load> m_services;
    std::map<pool_id, pool_load> m_pools;
    std::map<std::string, std::uint32_t> m_domains;
    std::vector<std::string> m_domain_order;
    std::vector<const instance*> m_undoable;
    std::map<pool_id, std::uint32_t> m_promised;
    std::map<pool_id, std::uint32_t> m_admitted;
    std::set<instance_id> m_promised_ids;
};

} // namespace

wave_plan wave_planner::plan(const fleet& whole, const ledger& books, const wave& subject) const
{
    return planning(m_options, whole, books, subject).run();
}

std::uint32_t loans_worth_making(std::uint32_t waiting, std::uint32_t spare, std::uint32_t most,
                                 const wave_weights& weights)
{
    if (waiting == 0) {
        return 0;
    }
    std::uint32_t best = 0;
    double least = std::numeric_limits<double>::infinity();
    for (std::uint32_t loans = 0; loans <= most; ++loans) {
        const std::uint32_t parallel = spare + loans;
        if (parallel == 0) {
            continue;
        }
        // A loan arrives a round late.
        const std::uint32_t first = loans == 0 ? 0 : std::min(spare, waiting);
        const std::uint32_t rounds =
            (loans == 0 ? 0 : 1) + (waiting - first + parallel - 1) / parallel;
        const double cost = weights.roll_out * rounds + weights.moves * 2 * loans +
                            weights.buffer * parallel * rounds;
        if (cost < least) {
            least = cost;
            best = loans;
        }
    }
    return best;
}

} // namespace plantaindoor::process
