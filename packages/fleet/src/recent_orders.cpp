#include "plantaindoor/fleet/recent_orders.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace plantaindoor::fleet {

std::set<std::string> parse_machines(std::string_view text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    std::set<std::string> machines;
    if (parsed.is_array()) {
        for (const auto& each : parsed) {
            if (each.is_string()) {
                machines.insert(each.get<std::string>());
            }
        }
    }
    return machines;
}

std::string to_text(const std::set<std::string>& machines)
{
    return nlohmann::json(machines).dump();
}

recent_orders::recent_orders(row_store& store, recent_orders_options options)
    : m_store(store), m_options(std::move(options)), m_alive(std::make_shared<bool>(true))
{
}

recent_orders::~recent_orders()
{
    *m_alive = false;
}

void recent_orders::add(const std::vector<std::string>& machines, time_point now, callback done)
{
    expire(now);
    for (const std::string& machine : machines) {
        m_ordered[machine] = now;
    }
    write({m_options.claim}, now, std::move(done));
}

void recent_orders::tick(time_point now)
{
    if (m_writes_pending > 0 || !m_version || now - m_last_write < m_options.removal_interval) {
        return;
    }
    expire(now);
    if (m_ordered.size() == m_listed.size()) {
        return;
    }
    // A removal that the store carries out late must not overwrite a later order's row.
    write({m_options.claim, {m_options.at, *m_version}}, now, [](bool) {});
}

void recent_orders::expire(time_point now)
{
    std::erase_if(m_ordered,
                  [&](const auto& each) { return now - each.second > m_options.retention; });
}

void recent_orders::write(std::vector<row_condition> conditions, time_point now, callback done)
{
    std::set<std::string> machines;
    for (const auto& [machine, ordered] : m_ordered) {
        machines.insert(machine);
    }
    row_transaction transaction{.conditions = std::move(conditions),
                                .writes = {{m_options.at, to_text(machines)}}};
    ++m_writes_pending;
    m_last_write = now;
    m_store.commit(
        std::move(transaction), m_options.commit_timeout,
        [this, machines, done = std::move(done), alive = m_alive](const commit_result& result) {
            if (*alive) {
                note_result(machines, result);
                done(result.outcome == commit_outcome::applied);
            }
        });
}

void recent_orders::note_result(const std::set<std::string>& written, const commit_result& result)
{
    --m_writes_pending;
    if (result.outcome != commit_outcome::applied) {
        m_version.reset();
        return;
    }
    if (!m_version || result.version > *m_version) {
        m_version = result.version;
        m_listed = written;
    }
}

} // namespace plantaindoor::fleet
