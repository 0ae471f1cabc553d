#include "plantaindoor/version/delta.hpp"

#include <algorithm>

namespace plantaindoor::version {

namespace {

template<class Map, class Id>
auto& existing(Map& items, const Id& id, const char* kind)
{
    const auto found = items.find(id);
    if (found == items.end()) {
        throw not_found_error(kind, id.str());
    }
    return found->second;
}

template<class Map, class Id>
void require(const Map& items, const Id& id, const std::string& from, const char* kind)
{
    if (!items.contains(id)) {
        throw dangling_reference_error(from, std::string(kind) + " \"" + id.str() + "\"");
    }
}

/// Applies one change of each kind to a fleet; references are checked once all are applied.
class change_applier {
public:
    change_applier(fleet& target, version_number version) : m_fleet(target), m_version(version) {}

    void operator()(const put_team& c) { m_fleet.teams.insert_or_assign(c.value.id, c.value); }
    void operator()(const put_pool& c) { m_fleet.pools.insert_or_assign(c.value.id, c.value); }
    void operator()(const put_service& c)
    {
        m_fleet.services.insert_or_assign(c.value.id, c.value);
    }
    void operator()(const put_instance& c)
    {
        instance value = c.value;
        const auto present = m_fleet.instances.find(value.id);
        const bool same_outage = present != m_fleet.instances.end() &&
                                 present->second.state == value.state &&
                                 present->second.pool == value.pool;
        value.state_version = same_outage ? present->second.state_version : m_version;
        m_fleet.instances.insert_or_assign(value.id, std::move(value));
    }
    void operator()(const put_wave& c) { m_fleet.waves.insert_or_assign(c.value.id, c.value); }
    void operator()(const set_rules& c) { m_fleet.rules = c.value; }
    void operator()(const remove_team& c) { remove(m_fleet.teams, c.id, "team"); }
    void operator()(const remove_pool& c) { remove(m_fleet.pools, c.id, "pool"); }
    void operator()(const remove_service& c) { remove(m_fleet.services, c.id, "service"); }
    void operator()(const remove_instance& c) { remove(m_fleet.instances, c.id, "instance"); }

    void operator()(const set_instance_state& c)
    {
        instance& subject = existing(m_fleet.instances, c.id, "instance");
        const bool planned_out =
            c.state == instance_state::draining || c.state == instance_state::stopped;
        const bool out = planned_out || c.state == instance_state::failed;
        subject.state = c.state;
        subject.state_version = m_version;
        subject.outage_wave = out ? c.wave : wave_id{};
        subject.moving = planned_out ? c.moving : std::nullopt;
        subject.boots_before = c.boots_before;
        if (c.maintained) {
            subject.maintained = *c.maintained;
            subject.last_wave = c.wave;
        }
    }

    void operator()(const move_instance& c)
    {
        instance& subject = existing(m_fleet.instances, c.id, "instance");
        subject.pool = c.pool;
        subject.lent = c.lent;
        subject.moving.reset();
        subject.state_version = m_version;
    }

private:
    template<class Map, class Id>
    static void remove(Map& items, const Id& id, const char* kind)
    {
        existing(items, id, kind);
        items.erase(id);
    }

    fleet& m_fleet;
    version_number m_version;
};

void check_references(const fleet& target)
{
    for (const auto& [id, value] : target.services) {
        const std::string from = "service \"" + id.str() + "\"";
        require(target.teams, value.team, from, "team");
        for (const pool_id& used : value.pools) {
            require(target.pools, used, from, "pool");
        }
    }
    for (const auto& [id, value] : target.instances) {
        const std::string from = "instance \"" + id.str() + "\"";
        require(target.pools, value.pool, from, "pool");
        if (value.lent) {
            require(target.pools, value.lent->home, from, "pool");
        }
        if (value.moving) {
            require(target.pools, value.moving->to, from, "pool");
        }
    }
    for (const auto& [id, value] : target.waves) {
        for (const pool_id& used : value.pools) {
            require(target.pools, used, "wave \"" + id.str() + "\"", "pool");
        }
    }
}

} // namespace

void apply(fleet& target, const delta& step)
{
    target = *applied(target, step);
}

fleet_ptr applied(const fleet& base, const delta& step)
{
    if (step.version != base.version + 1) {
        throw version_gap_error(base.version, step.version);
    }
    auto next = std::make_shared<fleet>(base);
    change_applier applier(*next, step.version);
    for (const change& each : step.changes) {
        std::visit(applier, each);
    }
    check_references(*next);
    next->version = step.version;
    return next;
}

} // namespace plantaindoor::version
