#include "plantaindoor/process/job_book.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

namespace {

/// Names what is done once for a run. A job's identifier may be used again when it is long over.
std::string operation_name(const char* what, const job& subject)
{
    return fmt::format("{}/{}@{}/{}", what, subject.spec.id.str(),
                       subject.submitted.time_since_epoch().count(), subject.run);
}

std::string start_operation(const job& subject)
{
    return operation_name("start", subject);
}

bool is_ended(task_state state)
{
    return state == task_state::stopped || state == task_state::finished ||
           state == task_state::failed;
}

bool has_run(const job& subject)
{
    return subject.state == job_state::placed || subject.state == job_state::stopping;
}

} // namespace

void job_book::load(const std::vector<table_row>& rows, time_point now)
{
    for (const table_row& row : rows) {
        auto found = decode_job(row.value);
        if (!found || found->spec.pool != m_options.pool) {
            continue;
        }
        const job_id id = found->spec.id;
        m_rows[id] = {.version = row.version};
        if (has_run(*found)) {
            m_runs[id] = {
                .from_table = true, .next_try = now, .next_renewal = now, .last_command = now};
        }
        m_jobs.insert_or_assign(id, std::move(*found));
    }
}

void job_book::on_inbox(const std::vector<table_row>& rows)
{
    for (const table_row& row : rows) {
        if (row.key.starts_with(job_cancel_prefix)) {
            cancel(row);
        }
        else if (const auto submitted = decode_job(row.value);
                 submitted && submitted->spec.pool == m_options.pool) {
            take(row, *submitted);
        }
    }
}

void job_book::take(const table_row& row, const job& submitted)
{
    const job_id& id = submitted.spec.id;
    if (m_rows.contains(id)) {
        return;
    }
    m_rows[id] = {.inbox = row.version};
    m_jobs.emplace(id, submitted);
    change(id);
}

void job_book::cancel(const table_row& row)
{
    const auto wanted = decode_job_cancel(row.value);
    if (!wanted || wanted->pool != m_options.pool || m_cancels.contains(row.key) ||
        m_cancels_writing.contains(row.key)) {
        return;
    }
    m_cancels.emplace(row.key, row.version);
    std::vector<job_id> meant;
    for (const auto& [id, each] : m_jobs) {
        if (wanted->fits(each)) {
            meant.push_back(id);
        }
    }
    for (const job_id& id : meant) {
        job& subject = m_jobs.at(id);
        if (!has_run(subject)) {
            close(id, job_state::cancelled, wanted->reason);
            continue;
        }
        subject.cancel_asked = true;
        begin_stop(subject, false, wanted->reason);
    }
}

void job_book::on_reports(const std::vector<task_report>& reports)
{
    std::map<std::string, job_id> wanted;
    for (const auto& [id, control] : m_runs) {
        wanted.emplace(start_operation(m_jobs.at(id)), id);
    }
    for (const task_report& each : reports) {
        const auto found = wanted.find(each.started_by.str());
        if (found != wanted.end()) {
            on_report(found->second, each);
        }
    }
}

void job_book::on_report(const job_id& id, const task_report& report)
{
    const auto run = m_runs.find(id);
    if (run == m_runs.end()) {
        return;
    }
    job& subject = m_jobs.at(id);
    const milliseconds saved(report.saved_ms);
    if (!is_ended(report.state)) {
        const bool newer = run->second.checkpoint_sent && saved > subject.saved;
        run->second.saved = run->second.saved || newer;
        return;
    }
    subject.saved = std::max(subject.saved, saved);
    m_ended.push_back({.spec = subject.spec,
                       .worker = subject.worker,
                       .used = {.processors = report.processors_used,
                                .memory_mb = report.memory_mb_used,
                                .accelerators = subject.spec.declared.accelerators,
                                .run_time = milliseconds(report.run_ms)},
                       .state = report.state});
    if (report.state == task_state::finished) {
        close(id, job_state::finished, "");
    }
    else if (report.state == task_state::failed) {
        on_failed(subject, report);
    }
    else {
        end_run(subject, subject.state == job_state::placed ? "its lease ended" : subject.reason);
    }
}

void job_book::on_failed(job& subject, const task_report& report)
{
    ++subject.failures;
    const std::string reason = fmt::format("failed on {}, {} of {} times", report.worker.str(),
                                           subject.failures, m_options.max_failures);
    note(subject, "run-failed");
    if (subject.failures >= m_options.max_failures && !subject.cancel_asked) {
        close(subject.spec.id, job_state::failed, reason);
    }
    else {
        end_run(subject, reason);
    }
}

/// Precondition: the run is proved to be over.
void job_book::end_run(job& subject, const std::string& reason)
{
    const job_id id = subject.spec.id;
    if (subject.cancel_asked) {
        close(id, job_state::cancelled, subject.reason);
        return;
    }
    subject.state = job_state::waiting;
    subject.save = false;
    subject.reason = reason;
    m_runs.erase(id);
    change(id);
}

void job_book::begin_stop(job& subject, bool save, const std::string& reason)
{
    subject.reason = reason;
    subject.save = save && subject.spec.checkpoints;
    if (subject.state != job_state::stopping) {
        subject.state = job_state::stopping;
        run_control& control = m_runs.at(subject.spec.id);
        control.next_try = {};
    }
    change(subject.spec.id);
}

void job_book::close(const job_id& id, job_state state, const std::string& reason)
{
    auto found = m_jobs.extract(id);
    job& subject = found.mapped();
    subject.state = state;
    subject.save = false;
    subject.reason = reason;
    note(subject, fmt::format("job-{}", name_of(state)));
    m_runs.erase(id);
    m_over.insert(std::move(found));
    change(id);
}

void job_book::change(const job_id& id)
{
    m_dirty.insert(id);
    m_changed = true;
}

void job_book::on_decided(const std::vector<job_decision>& decisions, wall_time now)
{
    for (const job_decision& each : decisions) {
        std::visit([&](const auto& what) { decide(what, now); }, each);
    }
}

void job_book::decide(const start_job& what, wall_time now)
{
    const auto found = m_jobs.find(what.job);
    if (found == m_jobs.end() || found->second.state != job_state::waiting) {
        return;
    }
    job& subject = found->second;
    subject.state = job_state::placed;
    ++subject.run;
    subject.worker = what.worker;
    subject.placed = now;
    subject.pace = job_pace::full;
    subject.reason.clear();
    m_runs[what.job] = {};
    change(what.job);
}

void job_book::decide(const refuse_job& what, wall_time)
{
    const auto found = m_jobs.find(what.job);
    if (found != m_jobs.end() && found->second.state == job_state::waiting) {
        close(what.job, job_state::refused, what.type + ": " + what.message);
    }
}

void job_book::decide(const vacate_job& what, wall_time)
{
    const auto found = m_jobs.find(what.job);
    if (found != m_jobs.end() && found->second.state == job_state::placed) {
        note(found->second, "run-vacated");
        begin_stop(found->second, what.save, what.reason);
    }
}

void job_book::decide(const set_job_pace& what, wall_time)
{
    const auto found = m_jobs.find(what.job);
    if (found == m_jobs.end() || found->second.state != job_state::placed ||
        found->second.pace == what.pace) {
        return;
    }
    found->second.pace = what.pace;
    found->second.reason = what.reason;
    m_runs.at(what.job).next_renewal = {};
    change(what.job);
}

void job_book::decide(const warn_deadline& what, wall_time)
{
    const auto found = m_jobs.find(what.job);
    if (found != m_jobs.end()) {
        note(found->second, "deadline-endangered");
    }
}

void job_book::vacate(const instance_id& worker, const std::string& reason)
{
    for (auto& [id, each] : m_jobs) {
        if (each.state == job_state::placed && each.worker == worker) {
            note(each, "run-vacated");
            begin_stop(each, true, reason);
        }
    }
}

bool job_book::is_vacant(const instance_id& worker) const
{
    return std::ranges::none_of(
        m_runs, [&](const auto& item) { return m_jobs.at(item.first).worker == worker; });
}

std::map<team_id, team_usage> job_book::own_usage() const
{
    std::map<team_id, team_usage> out;
    for (const auto& [id, control] : m_runs) {
        const job_spec& spec = m_jobs.at(id).spec;
        out[spec.team].processors += spec.declared.processors;
        out[spec.team].accelerators += spec.declared.accelerators;
    }
    return out;
}

std::optional<table_transaction> job_book::next_write()
{
    if (m_under_way || m_stale) {
        return std::nullopt;
    }
    table_transaction out;
    const bool quotas_change = m_quotas.add_changes(own_usage(), out);
    if (!quotas_change && m_dirty.empty() && m_cancels.empty()) {
        return std::nullopt;
    }
    while (!m_dirty.empty() && m_writing.size() < m_options.group) {
        const auto next = m_dirty.extract(m_dirty.begin());
        add_write(out, next.value());
        m_writing.insert(next.value());
    }
    if (m_dirty.empty()) {
        for (const auto& [key, version] : m_cancels) {
            out.conditions.push_back({key, version});
            out.writes.push_back({key, std::nullopt});
        }
        m_cancels_writing = std::exchange(m_cancels, {});
    }
    m_under_way = true;
    return out;
}

void job_book::add_write(table_transaction& into, const job_id& id) const
{
    const row_state& row = m_rows.at(id);
    const std::string live = job_live_key(id);
    into.conditions.push_back({live, row.version});
    if (row.inbox != absent_row) {
        into.conditions.push_back({job_inbox_key(id), row.inbox});
        into.writes.push_back({job_inbox_key(id), std::nullopt});
    }
    if (const auto over = m_over.find(id); over != m_over.end()) {
        into.writes.push_back({live, std::nullopt});
        into.writes.push_back({job_done_key(id), encode(over->second)});
    }
    else {
        into.writes.push_back({live, encode(m_jobs.at(id))});
    }
}

void job_book::on_written(const transact_result& result, time_point now)
{
    m_under_way = false;
    if (result.outcome == transact_outcome::unavailable) {
        m_dirty.merge(m_writing);
        m_cancels.merge(m_cancels_writing);
    }
    else if (result.outcome != transact_outcome::applied) {
        m_stale = true;
        return;
    }
    m_quotas.on_written(result.outcome == transact_outcome::applied, result.version);
    for (const job_id& id : m_writing) {
        if (result.outcome != transact_outcome::applied) {
            break;
        }
        m_rows[id] = {.version = result.version};
        // A job that ended while this was under way is still to be written as over.
        if (!m_dirty.contains(id) && m_over.erase(id) != 0) {
            m_rows.erase(id);
        }
        else if (const auto run = m_runs.find(id); run != m_runs.end()) {
            run->second.last_command = std::max(run->second.last_command, now);
        }
    }
    m_writing.clear();
    m_cancels_writing.clear();
}

std::vector<job_command> job_book::commands(time_point now)
{
    std::vector<job_command> out;
    std::vector<job_id> ids;
    for (const auto& [id, control] : m_runs) {
        if (!m_dirty.contains(id) && !m_writing.contains(id) && !control.command_under_way) {
            ids.push_back(id);
        }
    }
    for (const job_id& id : ids) {
        if (!m_stale) {
            step_run(id, now, out);
        }
    }
    return out;
}

void job_book::step_run(const job_id& id, time_point now, std::vector<job_command>& out)
{
    job& subject = m_jobs.at(id);
    run_control& control = m_runs.at(id);
    if (subject.state == job_state::placed) {
        step_placed(subject, control, now, out);
    }
    else {
        step_stopping(subject, control, now, out);
    }
}

void job_book::step_placed(job& subject, run_control& control, time_point now,
                           std::vector<job_command>& out)
{
    if (now >= control.last_command + m_options.lease + m_options.margin) {
        begin_stop(subject, false, "its worker doesn't answer");
    }
    else if (now < control.next_try) {
        return;
    }
    else if (!control.start_accepted) {
        out.push_back(command_for(subject, task_action::start, start_operation(subject), now));
        control.command_under_way = true;
        control.start_sent = control.start_sent.value_or(now);
    }
    else if (now >= control.next_renewal) {
        const auto pace =
            subject.pace == job_pace::full ? task_action::resume : task_action::throttle;
        out.push_back(command_for(subject, pace,
                                  fmt::format("{}/{}-{}", operation_name("renew", subject),
                                              m_options.holding, now.time_since_epoch().count()),
                                  now));
        control.command_under_way = true;
    }
}

void job_book::step_stopping(job& subject, run_control& control, time_point now,
                             std::vector<job_command>& out)
{
    const bool wait_over =
        control.checkpoint_sent && now >= *control.checkpoint_sent + m_options.checkpoint_timeout;
    if (control.stop_accepted) {
        if (now >= *control.stop_accepted + m_options.lease + m_options.margin) {
            end_run(subject, subject.reason);
        }
        return;
    }
    if (now < control.next_try) {
        return;
    }
    if (subject.save && !control.saved && !wait_over) {
        if (!control.checkpoint_accepted) {
            out.push_back(command_for(subject, task_action::checkpoint,
                                      operation_name("checkpoint", subject), now));
            control.command_under_way = true;
            control.checkpoint_sent = control.checkpoint_sent.value_or(now);
        }
        return;
    }
    out.push_back(command_for(subject, task_action::stop, operation_name("stop", subject), now));
    control.command_under_way = true;
}

job_command job_book::command_for(const job& subject, task_action action,
                                  const std::string& operation, time_point now) const
{
    const job_size& size = subject.spec.declared;
    return {.what = {.action = action,
                     .job = subject.spec.id,
                     .worker = subject.worker,
                     .processors = size.processors,
                     .memory_mb = size.memory_mb,
                     .accelerators = size.accelerators,
                     .lease_ms = static_cast<std::uint64_t>(m_options.lease.count())},
            .guard = {.id = operation_id(operation), .epoch = m_rows.at(subject.spec.id).version},
            .run = subject.run,
            .sent = now};
}

void job_book::on_command(const job_command& command, operation_outcome outcome, time_point now)
{
    const auto found = m_runs.find(command.what.job);
    if (found == m_runs.end() || m_jobs.at(command.what.job).run != command.run) {
        return;
    }
    run_control& control = found->second;
    control.command_under_way = false;
    const bool accepted = outcome == operation_outcome::accepted;
    control.next_try = accepted ? time_point{} : now + m_options.retry;
    switch (command.what.action) {
    case task_action::start:
        if (accepted) {
            control.start_accepted = true;
            control.last_command = std::max(control.last_command, command.sent);
            // A start that was taken before is no renewal: the lease runs from the first one.
            const bool renew_now =
                control.from_table || m_jobs.at(command.what.job).pace == job_pace::throttled;
            control.next_renewal = renew_now ? now : *control.start_sent + m_options.renew;
        }
        return;
    case task_action::throttle:
    case task_action::resume:
        if (accepted) {
            control.last_command = std::max(control.last_command, command.sent);
            control.next_renewal = command.sent + m_options.renew;
        }
        return;
    case task_action::checkpoint:
        control.checkpoint_accepted = accepted;
        control.saved = outcome == operation_outcome::refused;
        return;
    case task_action::stop:
        if (accepted) {
            control.stop_accepted = now;
        }
        return;
    }
}

bool job_book::take_changed()
{
    return std::exchange(m_changed, false);
}

std::vector<journal_entry> job_book::take_journal()
{
    return std::exchange(m_journal, {});
}

std::vector<ended_run> job_book::take_ended()
{
    return std::exchange(m_ended, {});
}

void job_book::note(const job& subject, const std::string& action)
{
    m_journal.push_back({.part = "job",
                         .action = action,
                         .facts = {{"job", subject.spec.id.str()},
                                   {"pool", subject.spec.pool.str()},
                                   {"team", subject.spec.team.str()},
                                   {"run", std::to_string(subject.run)},
                                   {"worker", subject.worker.str()},
                                   {"reason", subject.reason}}});
}

} // namespace plantaindoor::process
