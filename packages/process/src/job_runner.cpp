#include "plantaindoor/process/job_runner.hpp"

#include "plantaindoor/version/rule_actions.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

job_runner::job_runner(job_runner_options how) : m_options(std::move(how)) {}

job_runner::~job_runner()
{
    m_options.loop.cancel(m_timer);
}

template<class Action>
auto job_runner::while_alive(Action run) const
{
    return [alive = std::weak_ptr<bool>(m_alive), run = std::move(run)](auto&&... results) {
        if (!alive.expired()) {
            run(std::forward<decltype(results)>(results)...);
        }
    };
}

void job_runner::start()
{
    tick();
}

void job_runner::stop()
{
    m_stopped = true;
    m_options.loop.cancel(m_timer);
    m_held.clear();
    m_drains.clear();
}

void job_runner::checkpoint(const version::outage& drain, std::function<void()> done)
{
    const version::fleet_ptr whole = m_options.log.current();
    const auto found = whole->instances.find(drain.id);
    if (found == whole->instances.end()) {
        done();
        return;
    }
    m_drains.push_back({.pool = found->second.pool, .drain = drain, .done = std::move(done)});
}

job_counts job_runner::counts() const
{
    job_counts out;
    for (const auto& [pool, each] : m_held) {
        for (const auto& [id, subject] : each->book.jobs()) {
            ++out[subject.state];
        }
    }
    return out;
}

void job_runner::tick()
{
    if (m_stopped) {
        return;
    }
    follow_duties();
    if (m_loading.empty()) {
        for (const auto& [pool, each] : m_held) {
            if (!each->loaded) {
                m_loading.emplace(pool, each->guard);
            }
        }
        if (!m_loading.empty()) {
            load("");
        }
    }
    const bool any_loaded =
        std::ranges::any_of(m_held, [](const auto& item) { return item.second->loaded; });
    if (any_loaded && !m_reading_inbox) {
        m_reading_inbox = true;
        read_inbox("");
    }
    const bool any_runs =
        std::ranges::any_of(m_held, [](const auto& item) { return item.second->book.has_runs(); });
    if (any_runs && !m_reading_reports && m_options.loop.now() >= m_next_reports) {
        read_reports();
    }
    step_all();
    answer_drains();
    m_timer = m_options.loop.call_after(m_options.interval, [this] { tick(); });
}

void job_runner::follow_duties()
{
    const version::fleet_ptr whole = m_options.log.current();
    std::map<pool_id, row_condition> guards;
    for (const pool_id& pool : m_options.held()) {
        const auto guard = m_options.guard_of(pool);
        if (guard && whole->pools.contains(pool)) {
            guards.emplace(pool, *guard);
        }
    }
    std::erase_if(m_held, [&](const auto& item) {
        const auto held = guards.find(item.first);
        return held == guards.end() || held->second != item.second->guard;
    });
    for (const auto& [pool, each] : m_held) {
        if (each->book.is_stale()) {
            // What was learned, and what placement remembers, stays.
            each->book = job_book(book_options(pool, each->guard));
            each->loaded = false;
            m_options.exchange.refresh();
        }
    }
    std::erase_if(m_drains, [&](const auto& each) { return !guards.contains(each.pool); });
    for (const auto& [pool, guard] : guards) {
        if (!m_held.contains(pool)) {
            open(pool, guard);
        }
    }
}

job_book::options job_runner::book_options(const pool_id& pool, const row_condition& guard) const
{
    job_book::options how = m_options.book;
    how.pool = pool;
    how.holding = guard.version;
    return how;
}

void job_runner::open(const pool_id& pool, const row_condition& guard)
{
    auto fresh = std::make_unique<holding>(book_options(pool, guard), m_options.placement);
    fresh->guard = guard;
    m_held.emplace(pool, std::move(fresh));
}

void job_runner::load(const std::string& after)
{
    m_options.rows.scan(
        {.prefix = std::string(job_live_prefix), .after = after, .limit = m_options.page},
        while_alive([this](const read_result& rows) { on_live(rows); }));
}

void job_runner::on_live(const read_result& rows)
{
    if (!rows || m_stopped) {
        // What was loaded by halves begins anew.
        for (const auto& [pool, guard] : m_loading) {
            m_held.erase(pool);
        }
        m_loading.clear();
        return;
    }
    const bool last = rows->size() < m_options.page;
    for (const auto& [pool, guard] : m_loading) {
        if (holding* subject = find(pool, guard)) {
            subject->book.load(*rows, m_options.loop.now());
            subject->loaded = last;
        }
    }
    if (last) {
        m_loading.clear();
        step_all();
    }
    else {
        load(rows->back().key);
    }
}

void job_runner::read_inbox(const std::string& after)
{
    m_options.rows.scan(
        {.prefix = std::string(job_inbox_prefix), .after = after, .limit = m_options.page},
        while_alive([this](const read_result& rows) { on_inbox(rows); }));
}

void job_runner::on_inbox(const read_result& rows)
{
    if (!rows || m_stopped) {
        m_reading_inbox = false;
        return;
    }
    for (const auto& [pool, each] : m_held) {
        if (each->loaded) {
            each->book.on_inbox(*rows);
        }
    }
    if (rows->size() < m_options.page) {
        m_reading_inbox = false;
        step_all();
    }
    else {
        read_inbox(rows->back().key);
    }
}

void job_runner::read_reports()
{
    m_reading_reports = true;
    m_options.tasks.reports(while_alive(
        [this](const std::optional<std::vector<task_report>>& reports) { on_reports(reports); }));
}

void job_runner::on_reports(const std::optional<std::vector<task_report>>& reports)
{
    m_reading_reports = false;
    m_next_reports = m_options.loop.now() + m_options.report_interval;
    if (!reports || m_stopped) {
        return;
    }
    for (const auto& [pool, each] : m_held) {
        if (each->loaded) {
            each->book.on_reports(*reports);
        }
    }
    step_all();
}

void job_runner::step_all()
{
    for (const auto& [pool, each] : m_held) {
        if (each->loaded && m_options.exchange.was_read()) {
            step(pool, *each);
        }
    }
}

void job_runner::step(const pool_id& pool, holding& subject)
{
    take_ended(subject);
    const time_point now = m_options.loop.now();
    if (subject.book.take_changed() || now >= subject.next_round) {
        subject.next_round = now + m_options.round_interval;
        decide(pool, subject);
    }
    // The lease on the duty may have ended since the last tick.
    if (m_options.guard_of(pool) == subject.guard) {
        write(pool, subject);
        send(pool, subject);
        publish_figures(pool, subject);
    }
    for (journal_entry& each : subject.book.take_journal()) {
        each.when = m_options.loop.wall_now();
        each.actor = m_options.self;
        each.version = m_options.log.current()->version;
        m_options.journal.record(std::move(each));
    }
}

void job_runner::decide(const pool_id& pool, holding& subject)
{
    const version::fleet_ptr whole = m_options.log.current();
    std::set<team_id> limited;
    for (const auto& [id, each] : whole->teams) {
        if (each.max_job_processors > 0 || each.max_job_accelerators > 0) {
            limited.insert(id);
        }
    }
    subject.book.quotas().set_limited(std::move(limited));
    subject.book.quotas().observe(m_options.exchange.quota_rows());
    const auto elsewhere = subject.book.quotas().used_elsewhere(*whole);
    const wall_time now = m_options.loop.wall_now();
    const double load = m_options.interactive_load ? m_options.interactive_load(pool) : 0;
    const auto decisions =
        subject.scheduler.decide({.now = now,
                                  .whole = *whole,
                                  .pool = pool,
                                  .jobs = subject.book.jobs(),
                                  .learned = subject.learned,
                                  .used_elsewhere = elsewhere,
                                  .limits = m_options.exchange.placement_limits(),
                                  .interactive_load = load});
    m_options.metrics.started(static_cast<std::uint64_t>(std::ranges::count_if(
        decisions, [](const auto& each) { return std::holds_alternative<start_job>(each); })));
    subject.book.on_decided(decisions, now);
    for (const job_decision& each : decisions) {
        if (const auto* worker = std::get_if<quarantine_worker>(&each)) {
            quarantine(pool, subject, *worker);
        }
    }
}

/// The worker goes only if no budget is broken by it.
void job_runner::quarantine(const pool_id& pool, holding& subject, const quarantine_worker& what)
{
    const auto lost = m_options.lost();
    if (!lost || subject.quarantining) {
        return;
    }
    subject.quarantining = true;
    const version::compiled_rule wanted{
        .then = {.verb = version::rule_verb::quarantine, .instance = what.worker}};
    m_options.log.append({.author = "jobs:" + pool.str(),
                          .reason = what.reason,
                          .guards = {subject.guard},
                          .propose =
                              [wanted, lost](const version::fleet& newest) {
                                  return version::plan_rule(newest, wanted, {.lost = *lost});
                              }},
                         while_alive([this, pool, guard = subject.guard,
                                      what](const version::append_result& result) {
                             if (holding* asked_by = find(pool, guard)) {
                                 on_quarantined(pool, *asked_by, what, result);
                             }
                         }));
}

void job_runner::on_quarantined(const pool_id& pool, holding& subject,
                                const quarantine_worker& what, const version::append_result& result)
{
    subject.quarantining = false;
    journal_entry entry{
        .when = m_options.loop.wall_now(),
        .actor = m_options.self,
        .part = "job",
        .action = "worker-quarantined",
        .version = result.version,
        .facts = {{"instance", what.worker.str()}, {"pool", pool.str()}, {"reason", what.reason}}};
    if (result.outcome == version::append_outcome::refused) {
        std::string told;
        try {
            std::rethrow_exception(result.refusal);
        }
        catch (const std::exception& refusal) {
            told = refusal.what();
        }
        // The same refusal comes back every round.
        if (subject.last_refusal == told) {
            return;
        }
        subject.last_refusal = told;
        entry.action = "quarantine-refused";
        entry.version = m_options.log.current()->version;
        entry.facts.push_back({"refusal", told});
    }
    else if (result.outcome != version::append_outcome::accepted) {
        return;
    }
    m_options.journal.record(std::move(entry));
}

void job_runner::publish_figures(const pool_id& pool, holding& subject)
{
    const time_point now = m_options.loop.now();
    if (now < subject.next_figures) {
        return;
    }
    subject.next_figures = now + m_options.round_interval;
    job_figures figures;
    for (const auto& [id, each] : subject.book.jobs()) {
        if (each.state != job_state::waiting) {
            continue;
        }
        ++figures.waiting;
        figures.urgent += each.spec.work_class == version::priority::urgent ? 1U : 0U;
        if (each.spec.deadline) {
            figures.deadline =
                std::min(figures.deadline.value_or(*each.spec.deadline), *each.spec.deadline);
        }
    }
    m_options.exchange.publish(pool, figures, subject.guard);
}

void job_runner::take_ended(holding& subject)
{
    for (const ended_run& each : subject.book.take_ended()) {
        const bool finished = each.state == task_state::finished;
        const bool failed = each.state == task_state::failed;
        subject.learned.on_run(each.spec, each.used, finished);
        subject.scheduler.on_run_ended(each.spec.id, each.worker, failed);
        if (finished) {
            m_options.metrics.finished(each.spec.deadline &&
                                       m_options.loop.wall_now() > *each.spec.deadline);
        }
        if (failed) {
            m_options.metrics.failed();
        }
    }
}

void job_runner::write(const pool_id& pool, holding& subject)
{
    auto next = subject.book.next_write();
    if (!next) {
        return;
    }
    next->conditions.push_back(subject.guard);
    m_options.rows.transact(std::move(*next), while_alive([this, pool, guard = subject.guard](
                                                              const transact_result& result) {
                                on_written(pool, guard, result);
                            }));
}

void job_runner::on_written(const pool_id& pool, const row_condition& guard,
                            const transact_result& result)
{
    if (result.outcome == transact_outcome::conflict) {
        const auto holds = [&](const table_row& row) {
            return row.key == guard.key && row.version == guard.version;
        };
        if (std::ranges::none_of(result.present, holds)) {
            m_options.drop(pool);
        }
    }
    holding* subject = find(pool, guard);
    if (subject == nullptr) {
        return;
    }
    subject->book.on_written(result, m_options.loop.now());
    if (result.outcome == transact_outcome::applied) {
        step(pool, *subject);
    }
}

void job_runner::send(const pool_id& pool, holding& subject)
{
    for (const job_command& each : subject.book.commands(m_options.loop.now())) {
        m_options.tasks.command(
            each.what, each.guard,
            while_alive([this, pool, guard = subject.guard, each](operation_outcome outcome) {
                if (holding* sent_by = find(pool, guard)) {
                    sent_by->book.on_command(each, outcome, m_options.loop.now());
                }
            }));
    }
}

void job_runner::answer_drains()
{
    std::vector<std::function<void()>> answers;
    std::erase_if(m_drains, [&](awaited_vacancy& each) {
        const auto found = m_held.find(each.pool);
        if (found == m_held.end() || !found->second->loaded) {
            return false;
        }
        job_book& book = found->second->book;
        book.vacate(each.drain.id, "its worker is drained");
        if (!book.is_vacant(each.drain.id)) {
            return false;
        }
        answers.push_back(std::move(each.done));
        return true;
    });
    for (const auto& answer : answers) {
        answer();
    }
}

job_runner::holding* job_runner::find(const pool_id& pool, const row_condition& guard)
{
    const auto found = m_held.find(pool);
    return found != m_held.end() && found->second->guard == guard ? found->second.get() : nullptr;
}

} // namespace plantaindoor::process
