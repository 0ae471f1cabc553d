#include "plantaindoor/process/job_exchange.hpp"

#include <algorithm>
#include <array>

namespace plantaindoor::process {

using version::rule_verb;

namespace {

constexpr std::size_t max_rows = 10000;
constexpr std::array<rule_verb, 4> class_verbs{rule_verb::throttle, rule_verb::checkpoint,
                                               rule_verb::stop, rule_verb::refuse};

} // namespace

job_exchange::~job_exchange()
{
    m_options.loop.cancel(m_timer);
}

void job_exchange::start()
{
    refresh();
    m_timer = m_options.loop.call_after(m_options.interval, [this] { start(); });
}

void job_exchange::refresh()
{
    if (m_reading) {
        return;
    }
    m_reading = true;
    const time_point asked = m_options.loop.now();
    m_options.rows.scan(
        {.prefix = std::string(job_shared_prefix), .limit = max_rows},
        [this, asked, alive = std::weak_ptr<bool>(m_alive)](const read_result& rows) {
            if (alive.expired()) {
                return;
            }
            m_reading = false;
            if (rows) {
                m_read = asked;
                m_rows.clear();
                for (const table_row& row : *rows) {
                    m_rows.emplace(row.key, row);
                }
            }
        });
}

job_limits job_exchange::limits() const
{
    const auto row = m_rows.find(std::string(job_limits_key));
    const auto found = row == m_rows.end() ? std::nullopt : decode_job_limits(row->second.value);
    if (!found) {
        return {};
    }
    const version::fleet_ptr whole = m_options.log.current();
    const bool exists =
        std::ranges::find(whole->rules, found->rule, &version::rule::id) != whole->rules.end();
    return exists ? *found : job_limits{};
}

class_limits job_exchange::placement_limits() const
{
    const job_limits now = limits();
    class_limits out;
    if (now.rule.empty()) {
        return out;
    }
    if (now.verb == name_of(rule_verb::throttle)) {
        out.throttled.insert(now.work_class);
    }
    else if (now.verb == name_of(rule_verb::checkpoint)) {
        out.checkpointed.insert(now.work_class);
    }
    else if (now.verb == name_of(rule_verb::stop)) {
        out.stopped.insert(now.work_class);
    }
    return out;
}

std::optional<version::demand_facts> job_exchange::demand() const
{
    if (!m_read || m_options.loop.now() - *m_read > m_options.longest_age) {
        return std::nullopt;
    }
    const version::fleet_ptr whole = m_options.log.current();
    version::demand_facts out;
    std::optional<wall_time> deadline;
    for (const auto& [pool, each] : whole->pools) {
        const auto row = m_rows.find(job_figures_key(pool));
        const auto found =
            row == m_rows.end() ? std::nullopt : decode_job_figures(row->second.value);
        if (!found) {
            continue;
        }
        out.jobs_waiting += found->waiting;
        out.urgent_demand += found->urgent;
        if (found->deadline) {
            deadline = std::min(deadline.value_or(*found->deadline), *found->deadline);
        }
    }
    if (deadline) {
        const auto left = *deadline - m_options.loop.wall_now();
        out.earliest_deadline_s =
            std::max<std::int64_t>(0, std::chrono::duration_cast<seconds>(left).count());
    }
    return out;
}

std::vector<table_row> job_exchange::quota_rows() const
{
    std::vector<table_row> out;
    for (const auto& [key, row] : m_rows) {
        if (key.starts_with(job_quota_prefix)) {
            out.push_back(row);
        }
    }
    return out;
}

void job_exchange::publish(const std::optional<version::compiled_rule>& decided,
                           const row_condition& guard)
{
    job_limits wanted;
    if (decided && std::ranges::find(class_verbs, decided->then.verb) != class_verbs.end()) {
        wanted = {.rule = decided->id,
                  .work_class = decided->then.work_class,
                  .verb = std::string(name_of(decided->then.verb))};
    }
    const auto row = m_rows.find(std::string(job_limits_key));
    if (row == m_rows.end() && wanted == job_limits{}) {
        return;
    }
    write(std::string(job_limits_key), encode(wanted), guard);
}

void job_exchange::publish(const pool_id& pool, const job_figures& figures,
                           const row_condition& guard)
{
    write(job_figures_key(pool), encode(figures), guard);
}

/// Only what differs from the newest reading is written, and only over what was read.
void job_exchange::write(const std::string& key, const std::string& value,
                         const row_condition& guard)
{
    const auto row = m_rows.find(key);
    const bool same = row != m_rows.end() && row->second.value == value;
    if (!m_read || same || !m_writing.insert(key).second) {
        return;
    }
    const row_version before = row == m_rows.end() ? absent_row : row->second.version;
    m_options.rows.transact(
        {.conditions = {guard, {key, before}}, .writes = {{key, value}}},
        [this, key, value, alive = std::weak_ptr<bool>(m_alive)](const transact_result& result) {
            if (alive.expired()) {
                return;
            }
            m_writing.erase(key);
            if (result.outcome == transact_outcome::applied) {
                m_rows[key] = {key, value, result.version};
            }
        });
}

} // namespace plantaindoor::process
