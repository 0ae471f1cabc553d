#include "plantaindoor/process/duty_runner.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

using version::fleet;
using version::wave;
using version::wave_state;

namespace {

/// Rows asked for in one reading, so that it is a consistent one.
constexpr std::size_t max_rows = 10000;

bool needs_plan(const fleet& whole, const wave& subject)
{
    if (subject.state == wave_state::running || subject.state == wave_state::paused) {
        return true;
    }
    return subject.state == wave_state::aborted &&
           std::any_of(whole.instances.begin(), whole.instances.end(),
                       [&](const auto& item) { return item.second.outage_wave == subject.id; });
}

} // namespace

version::lost_instances lost_of(const fleet& whole, const std::vector<listed_instance>& listed)
{
    std::set<std::string> live;
    for (const listed_instance& each : listed) {
        if (each.role == listed_role::target && each.state == listed_state::live) {
            live.insert(each.id);
        }
    }
    version::lost_instances lost;
    for (const auto& [id, each] : whole.instances) {
        if (!live.contains(id.str())) {
            lost.insert(id);
        }
    }
    return lost;
}

duty_runner::duty_runner(duty_runner_options how)
    : m_options(std::move(how)),
      m_planner(m_options.waves),
      m_leases({.self = m_options.self,
                .incarnation = m_options.incarnation,
                .term = m_options.lease_term,
                .margin = m_options.lease_term / 4}),
      m_entries(m_options.entries),
      m_fleet(m_options.log.current())
{
}

duty_runner::~duty_runner()
{
    m_options.loop.cancel(m_timer);
}

template<class Action>
auto duty_runner::while_alive(Action run) const
{
    return [alive = std::weak_ptr<bool>(m_alive), run = std::move(run)](auto&&... results) {
        if (!alive.expired()) {
            run(std::forward<decltype(results)>(results)...);
        }
    };
}

void duty_runner::start()
{
    cycle();
}

void duty_runner::stop()
{
    m_stopped = true;
    m_options.loop.cancel(m_timer);
    send(m_leases.releases());
}

std::vector<pool_id> duty_runner::held() const
{
    return m_leases.held(m_options.loop.now());
}

wave_plan duty_runner::plan_of(const wave_id& id) const
{
    const version::fleet_ptr whole = m_options.log.current();
    const auto found = whole->waves.find(id);
    if (found == whole->waves.end()) {
        throw not_found_error("wave", id.str());
    }
    return m_planner.plan(*whole, version::ledger(*whole, *m_lost), found->second);
}

std::optional<row_condition> duty_runner::guard_of(const pool_id& duty) const
{
    if (!m_leases.holds(duty, m_options.loop.now())) {
        return std::nullopt;
    }
    return m_leases.guard(duty);
}

void duty_runner::drop(const pool_id& duty)
{
    m_leases.drop(duty);
}

std::optional<version::lost_instances> duty_runner::known_lost() const
{
    const bool fresh =
        m_list_read && m_options.loop.now() - *m_list_read <= m_options.entries.longest_gap;
    return fresh ? std::optional(*m_lost) : std::nullopt;
}

std::vector<awaited_entry> duty_runner::awaited(const instance_id& id) const
{
    const auto found = m_fleet->instances.find(id);
    const auto duty =
        found == m_fleet->instances.end() ? m_duties.end() : m_duties.find(found->second.pool);
    return duty == m_duties.end() ? std::vector<awaited_entry>{} : duty->second.awaited(id);
}

void duty_runner::cycle()
{
    if (m_stopped) {
        return;
    }
    renew();
    if (leases_due()) {
        scan_leases();
    }
    else {
        run_cycle();
    }
}

void duty_runner::renew()
{
    const time_point sent = m_options.loop.now();
    auto renewal = m_leases.renewal(sent);
    if (!renewal || m_renewing) {
        return;
    }
    m_renewing = true;
    m_options.rows.transact(std::move(renewal->transaction),
                            while_alive([this, sent](const transact_result& result) {
                                m_renewing = false;
                                m_leases.on_renewed(result.outcome, sent, m_options.loop.now());
                            }));
}

bool duty_runner::leases_due() const
{
    return m_options.loop.now() >= m_next_leases;
}

void duty_runner::scan_leases()
{
    const time_point asked = m_options.loop.now();
    m_options.rows.scan(
        {.prefix = std::string(lease_prefix), .limit = max_rows},
        while_alive([this, asked](const read_result& rows) { on_leases(rows, asked); }));
}

void duty_runner::on_leases(const read_result& rows, time_point asked)
{
    m_table_answers = rows.has_value();
    if (!rows || m_stopped) {
        finish_cycle();
        return;
    }
    const time_point now = m_options.loop.now();
    const reading_pace pace{.least = m_options.interval,
                            .most = m_options.lease_term * 2 / 3,
                            .bytes_per_second = m_options.lease_bytes_per_second};
    m_next_leases = asked + pace.period_after(answer_bytes(*rows));
    m_leases.observe(*rows, pools(), asked, now);
    send(m_leases.acquisitions(now));
    run_cycle();
}

/// What is done in each cycle with the leases as they were last read.
void duty_runner::run_cycle()
{
    const auto own = m_leases.held(m_options.loop.now());
    std::erase_if(m_duties, [&](const auto& item) {
        return std::find(own.begin(), own.end(), item.first) == own.end();
    });
    if (own.empty()) {
        finish_cycle();
        return;
    }
    // Readings of entries may take longer than leases last, so leases don't wait for them.
    if (!m_reading) {
        scan_entries();
    }
    finish_cycle();
}

void duty_runner::send(const std::vector<duty_leases::request>& requests)
{
    for (const duty_leases::request& each : requests) {
        // The next scan shows what came of it.
        m_options.rows.transact(each.transaction, [](const transact_result&) {});
    }
}

void duty_runner::scan_entries()
{
    m_reading = true;
    m_options.reader.read({.on_answer = while_alive(
                               [this](const membership_answer& answer) { on_entries(answer); })});
}

void duty_runner::on_entries(const membership_answer& answer)
{
    m_reading = false;
    if (answer.listed && !m_stopped) {
        m_list_read = m_options.loop.now();
        m_entries.observe({.rows = *answer.rows, .listed = *answer.listed}, m_options.loop.now());
        m_lost = std::make_shared<version::lost_instances>(
            lost_of(*m_options.log.current(), *answer.listed));
        run_duties();
    }
}

void duty_runner::run_duties()
{
    index_fleet();
    refresh_plans();
    for (const pool_id& pool : m_leases.held(m_options.loop.now())) {
        if (m_fleet->pools.contains(pool)) {
            step(pool);
        }
    }
}

void duty_runner::index_fleet()
{
    m_fleet = m_options.log.current();
    m_members.clear();
    for (const auto& [id, each] : m_fleet->instances) {
        m_members[each.pool].push_back(&each);
    }
}

void duty_runner::refresh_plans()
{
    m_plans.clear();
    std::optional<version::ledger> books;
    for (const auto& [id, each] : m_fleet->waves) {
        if (needs_plan(*m_fleet, each)) {
            if (!books) {
                books.emplace(*m_fleet, *m_lost);
            }
            m_plans.emplace(id, m_planner.plan(*m_fleet, *books, each));
        }
    }
}

void duty_runner::step(const pool_id& pool)
{
    const auto duty = m_duties
                          .try_emplace(pool, pool_duty({.pool = pool,
                                                        .self = m_options.self,
                                                        .times = m_options.times,
                                                        .planner = m_planner}))
                          .first;
    const duty_view view{.now = m_options.loop.now(),
                         .wall_now = m_options.loop.wall_now(),
                         .whole = *m_fleet,
                         .members = m_members[pool],
                         .lost = m_lost,
                         .plans = m_plans,
                         .entries = m_entries};
    for (duty_action& each : duty->second.step(view)) {
        std::visit([&](auto& what) { perform(pool, std::move(what)); }, each);
    }
}

void duty_runner::perform(const pool_id& pool, append_changes what)
{
    m_options.log.append({.author = std::move(what.author),
                          .reason = std::move(what.reason),
                          .guards = {m_leases.guard(pool)},
                          .propose = std::move(what.propose)},
                         while_alive([this, pool](const version::append_result& result) {
                             if (result.outcome == version::append_outcome::fenced) {
                                 m_leases.drop(pool);
                             }
                             if (pool_duty* duty = duty_of(pool)) {
                                 for (journal_entry& each : duty->on_appended(result.outcome)) {
                                     m_options.journal.record(std::move(each));
                                 }
                             }
                         }));
}

void duty_runner::perform(const pool_id& pool, const reboot_instance& what)
{
    m_options.control.reboot(what.stop.id, what.guard,
                             while_alive([this, pool, stop = what.stop](operation_outcome outcome) {
                                 if (pool_duty* duty = duty_of(pool)) {
                                     duty->on_rebooted(stop, outcome, m_options.loop.now());
                                 }
                             }));
}

void duty_runner::perform(const pool_id& pool, const read_boots& what)
{
    const time_point asked = m_options.loop.now();
    m_options.control.boot_count(
        what.outage.id,
        while_alive([this, pool, asked, outage = what.outage](std::optional<std::uint64_t> boots) {
            if (pool_duty* duty = duty_of(pool)) {
                duty->on_boots(outage, boots, asked);
            }
        }));
}

void duty_runner::perform(const pool_id& pool, const checkpoint_tasks& what)
{
    auto done = while_alive([this, pool, drain = what.drain] {
        if (pool_duty* duty = duty_of(pool)) {
            duty->on_checkpointed(drain);
        }
    });
    if (m_options.checkpoint) {
        m_options.checkpoint(what.drain, std::move(done));
    }
    else {
        done();
    }
}

void duty_runner::perform(const pool_id&, journal_entry what)
{
    m_options.journal.record(std::move(what));
}

pool_duty* duty_runner::duty_of(const pool_id& pool)
{
    const auto found = m_duties.find(pool);
    return found == m_duties.end() ? nullptr : &found->second;
}

std::set<pool_id> duty_runner::pools() const
{
    const version::fleet_ptr whole = m_options.log.current();
    std::set<pool_id> all;
    if (m_options.other_duties) {
        all = m_options.other_duties(*whole);
    }
    for (const auto& [id, each] : whole->pools) {
        all.insert(id);
    }
    return all;
}

void duty_runner::finish_cycle()
{
    if (!m_stopped) {
        m_timer = m_options.loop.call_after(m_options.interval, [this] { cycle(); });
    }
}

} // namespace plantaindoor::process
