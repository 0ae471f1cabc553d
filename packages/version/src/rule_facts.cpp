#include "plantaindoor/version/rule_facts.hpp"

#include <algorithm>
#include <chrono>

namespace plantaindoor::version {

namespace {

constexpr double all_percent = 100;

struct share {
    std::uint32_t total = 0;
    std::uint32_t healthy = 0;

    void count(bool is_healthy)
    {
        ++total;
        healthy += is_healthy ? 1 : 0;
    }
};

/// What is left of a rack or zone.
struct domain {
    std::uint32_t present = 0;
    /// Neither there nor stopped by a plan.
    std::uint32_t missing = 0;

    void count(const instance& subject, const lost_instances& lost)
    {
        const bool listed = !lost.contains(subject.id);
        if (subject.state != instance_state::failed && listed) {
            ++present;
        }
        else if (subject.state != instance_state::stopped) {
            ++missing;
        }
    }
};

std::uint32_t hour_of(wall_time now)
{
    const auto since_midnight = now - std::chrono::floor<std::chrono::days>(now);
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::hours>(since_midnight).count());
}

double lost_domains(const std::map<std::string, domain>& domains)
{
    return static_cast<double>(std::ranges::count_if(domains, [](const auto& item) {
        return item.second.present == 0 && item.second.missing != 0;
    }));
}

double percent(const share& of)
{
    return all_percent * of.healthy / of.total;
}

void add_losses(const fact_sources& from, rule_facts& facts)
{
    std::map<std::string, domain> zones;
    std::map<std::string, domain> racks;
    for (const auto& [id, each] : from.whole.instances) {
        zones[each.zone.str()].count(each, *from.lost);
        racks[each.zone.str() + "/" + each.rack.str()].count(each, *from.lost);
    }
    facts[{rule_fact::lost_zones, ""}] = lost_domains(zones);
    facts[{rule_fact::lost_racks, ""}] = lost_domains(racks);
}

void add_shares(const fact_sources& from, rule_facts& facts)
{
    std::map<pool_id, share> pools;
    for (const auto& [id, each] : from.whole.instances) {
        pools[each.pool].count(each.state == instance_state::admitted && !from.lost->contains(id));
    }
    for (const auto& [id, counted] : pools) {
        facts[{rule_fact::pool_healthy, id.str()}] = percent(counted);
    }
    for (const auto& [id, each] : from.whole.services) {
        share sum;
        for (const pool_id& pool : each.pools) {
            const share part = pools[pool];
            sum.total += part.total;
            sum.healthy += part.healthy;
        }
        if (sum.total != 0) {
            facts[{rule_fact::service_healthy, id.str()}] = percent(sum);
        }
    }
}

void add_demand(const demand_facts& demand, rule_facts& facts)
{
    facts[{rule_fact::jobs_waiting, ""}] = demand.jobs_waiting;
    facts[{rule_fact::urgent_demand, ""}] = demand.urgent_demand;
    if (demand.earliest_deadline_s) {
        facts[{rule_fact::earliest_deadline_s, ""}] =
            static_cast<double>(*demand.earliest_deadline_s);
    }
}

} // namespace

std::string to_string(const fact_key& key)
{
    const std::string name(name_of(key.fact));
    return key.subject.empty() ? name : name + "(" + key.subject + ")";
}

rule_facts gather_facts(const fact_sources& sources)
{
    rule_facts facts;
    facts[{rule_fact::waves_running, ""}] =
        static_cast<double>(std::ranges::count_if(sources.whole.waves, [](const auto& item) {
            return item.second.state == wave_state::running;
        }));
    facts[{rule_fact::table_down, ""}] = sources.table_down ? 1 : 0;
    facts[{rule_fact::hour, ""}] = hour_of(sources.now);
    if (sources.lost) {
        add_losses(sources, facts);
        add_shares(sources, facts);
    }
    if (sources.demand) {
        add_demand(*sources.demand, facts);
    }
    return facts;
}

} // namespace plantaindoor::version
