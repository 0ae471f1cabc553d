#include "plantaindoor/fleet/leader_session.hpp"

#include "plantaindoor/fleet/decision_log.hpp"
#include "plantaindoor/fleet/job_rows.hpp"
#include "plantaindoor/fleet/shard_metrics.hpp"
#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part leader_log("duty");
constexpr process::log_part job_log("job");
constexpr process::log_part worker_log("worker");

/// Batches several events into one placement round.
constexpr milliseconds plan_delay{6};
constexpr milliseconds tick_period{100};
/// Batch several changes into one watch call.
constexpr milliseconds worker_batch_delay{150};
constexpr milliseconds job_batch_delay{20};
/// Bounds how long an unresponsive connection can hide new jobs.
constexpr milliseconds job_watch_wait{1000};
constexpr milliseconds worker_watch_wait{2000};
constexpr milliseconds removal_timeout{1500};
/// Nothing is started on a view of the jobs that is older than this: a job may have been cancelled
/// since. A watch call is renewed each job_watch_wait, so an undisturbed view stays younger.
constexpr milliseconds max_job_view_age{2000};
/// No job has waited longer than its callers wait; limits the effect of a wrong clock.
constexpr milliseconds max_job_age{60000};
/// A worker's start that is later than this process's clock by more is a mistake of the row's
/// writer. The worker's own row, with its real start, would count as outdated.
constexpr milliseconds max_clock_difference{60000};

std::vector<job::queue_policy> queues_of(const fleet_config& config)
{
    std::vector<job::queue_policy> queues;
    for (const queue_route& route : config.routes) {
        queues.push_back(route.queue);
    }
    return queues;
}

std::string describe_departure(const job::worker_listing& listing)
{
    if (!listing.draining) {
        return {};
    }
    return listing.remaining ? fmt::format(", draining, {} ms left", listing.remaining->count())
                             : std::string(", draining");
}

} // namespace

leader_session::leader_session(const session_context& context, session_options options,
                               std::shared_ptr<const fleet_config> config, event on_lost)
    : m_context(context),
      m_options(std::move(options)),
      m_config(std::move(config)),
      m_on_lost(std::move(on_lost)),
      m_alive(std::make_shared<bool>(true)),
      m_started(context.loop.now()),
      m_lease(context.clock, {.leader = m_options.entry, .token = m_options.claim_row.version},
              m_options.claimed_at + m_options.lease),
      m_scheduler(m_options.scheduling, m_started),
      m_quota_reporter(context.metrics, m_options.shard.number),
      m_plan_seconds(context.metrics.summary({"plan_seconds", "Duration of placement rounds", {}})),
      m_job_seconds(
          context.metrics.summary({"job_seconds", "Time from submission to completion", {}})),
      m_first_start_seconds(context.metrics.summary(
          {"job_first_start_seconds", "Time from submission to the first start", {}})),
      m_crash_suspicions(
          context.metrics.counter({"task_crash_suspicions_total",
                                   "Tasks that may have crashed their worker, once for each crash",
                                   {}})),
      m_open_jobs(context.metrics.gauge(
          shard_gauge("jobs_open", "Jobs that are not in a final state", m_options.shard.number))),
      m_usable_workers(context.metrics.gauge(shard_gauge(
          "workers_usable", "Workers available for placement", m_options.shard.number))),
      m_waiting_long_running(context.metrics.gauge(
          shard_gauge("long_running_tasks_waiting", "Long-running tasks that wait for a worker",
                      m_options.shard.number))),
      m_longest_wait(context.metrics.gauge(
          shard_gauge("long_running_longest_wait_seconds",
                      "Longest present wait of a long-running task", m_options.shard.number))),
      m_withdrawn_jobs(context.loop, context.store, {.retention = m_options.state_retention}),
      m_job_wait_gauges(context.metrics, m_options.shard.number),
      m_learned_gauges(context.metrics, m_options.shard.number)
{
    m_scheduler.set_queues(queues_of(*m_config));
    m_scheduler.set_workspaces(m_config->workspaces);
    m_quota_exchange = std::make_unique<quota_exchange>(
        m_context.loop, m_context.store, m_scheduler, m_context.metrics,
        quota_exchange_options{.claim = m_options.claim_row,
                               .shard = m_options.shard.number,
                               .shards = m_options.shard.layout->count()},
        [this] { schedule_plan(); });
    m_poller = std::make_unique<worker_poller>(
        m_context.loop, m_context.workers, m_scheduler, m_lease, m_context.metrics,
        worker_poller_options{}, [this] { schedule_plan(); }, [this] { step_down(); });
    update_polling();
    m_progress_writer = std::make_unique<progress_writer>(
        m_context.loop, m_context.store, m_scheduler, m_context.metrics,
        progress_writer_options{.claim = m_options.claim_row,
                                .sequence = m_options.sequence_row,
                                .renewal = leader_renewal_address(m_options.shard.number),
                                .shard = m_options.shard.number,
                                .incarnation = m_options.claim.incarnation},
        m_context.clock,
        progress_writer::event_handlers{
            .on_persisted = [this] { schedule_plan(); },
            .on_renewed = [this](time_point sent) { handle_renewal(sent); },
            .on_lost = [this] { step_down(); }});
    m_exchange = std::make_unique<machine_exchange>(
        m_context.loop, m_context.store,
        machine_exchange_options{.claim = m_options.claim_row,
                                 .shard = m_options.shard.number,
                                 .layout = m_options.shard.layout,
                                 .enabled = m_options.machine_transfers},
        machine_exchange::event_handlers{
            .on_restored = [this] { read_workers(); },
            .on_received = [this](const std::string& machine,
                                  fencing_token token) { take_over_machine(machine, token); }});
    m_machines = std::make_unique<machine_session>(
        m_context.loop, m_context.store, m_context.machines, m_context.codec, m_scheduler, m_lease,
        m_context.metrics,
        machine_session_options{.claim = m_options.claim_row,
                                .shard = m_options.shard.number,
                                .layout = m_options.shard.layout,
                                .planning = m_options.planning,
                                .exchange = m_exchange.get(),
                                .has_predecessor = m_options.claim.generation > 0,
                                .on_given = [this](const instance_id& id) { release_worker(id); }});
    m_machines->set_pools(m_config->pools);
    read_progress();
    if (m_exchange->ownership().is_restored()) {
        read_workers();
    }
    tick();
}

leader_session::~leader_session()
{
    *m_alive = false;
    m_context.loop.cancel(m_plan_timer);
    m_context.loop.cancel(m_tick_timer);
}

void leader_session::read_progress()
{
    table_watcher_options options{.table = std::string(progress_table),
                                  .partitions = {control_partition(m_options.shard.number)}};
    m_progress_rows = std::make_unique<table_watcher>(
        m_context.loop, m_context.store, std::move(options),
        table_watcher::event_handlers{.on_row =
                                          [this](const stored_row& row) {
                                              m_persisted_progress[job_id(row.at.key)] = row.value;
                                          },
                                      .on_complete =
                                          [this] {
                                              // This session writes the table itself from now on,
                                              // so it isn't watched.
                                              m_context.loop.post([this, alive = m_alive] {
                                                  if (*alive) {
                                                      m_progress_rows.reset();
                                                      read_jobs();
                                                  }
                                              });
                                          },
                                      .on_response = [] {},
                                      .on_failure = [] {}});
}

void leader_session::read_jobs()
{
    table_watcher_options options{.table = jobs_table(m_options.shard.number),
                                  .partitions = all_job_partitions(),
                                  .wait = job_watch_wait,
                                  .batch_delay = job_batch_delay};
    m_job_rows = std::make_unique<table_watcher>(
        m_context.loop, m_context.store, std::move(options),
        table_watcher::event_handlers{
            .on_row = [this](const stored_row& row) { handle_job_row(row); },
            .on_complete = [this] { become_ready(); },
            .on_response = [this] { m_catching_up = false; },
            .on_failure = [] {}});
}

void leader_session::read_workers()
{
    table_watcher_options options{.table = m_context.codec.workers_table,
                                  .partitions = {""},
                                  .wait = worker_watch_wait,
                                  .batch_delay = worker_batch_delay};
    m_worker_rows = std::make_unique<table_watcher>(
        m_context.loop, m_context.store, std::move(options),
        table_watcher::event_handlers{
            .on_row = [this](const stored_row& row) { handle_worker_row(row); },
            .on_complete =
                [this] {
                    m_workers_read = true;
                    schedule_plan();
                },
            .on_response = [] {},
            .on_failure = [] {}});
}

void leader_session::handle_job_row(const stored_row& row)
{
    const job_row_key key = parse_job_row_key(row.at.key);
    if (row.removed) {
        return;
    }
    if (key.cancelling) {
        cancel(key.id);
    }
    else if (row.value == withdrawn_row_value) {
        m_withdrawn_jobs.note_row(row);
    }
    else {
        load_job(key.id, row.value,
                 predecessors_since(m_options.claim, m_options.claim_row.version, row.version));
    }
}

void leader_session::submit(const job_id& id, const std::string& row_value)
{
    load_job(id, row_value, 0);
}

void leader_session::load_job(const job_id& id, const std::string& row_value,
                              std::uint32_t predecessors)
{
    if (m_scheduler.find(id) != nullptr) {
        return;
    }
    const auto accepted = parse_accepted_job(row_value);
    if (!accepted) {
        job_log.warning(fmt::format("job {} has a malformed row", id.str()));
        return;
    }
    try {
        const auto spec = m_context.codec.parse_job(accepted->body);
        const auto age = std::clamp(m_context.loop.wall_now() - accepted->accepted, milliseconds(0),
                                    max_job_age);
        const time_point now = m_context.loop.now();
        // A predecessor that hasn't noticed the change of the leader may start new jobs too.
        const bool predecessor_may_start = m_options.claim.generation > 0 &&
                                           now < m_started + m_options.scheduling.predecessor_grace;
        const bool inherited = !m_ready || predecessor_may_start;
        m_scheduler.submit(id,
                           {.queue = accepted->queue,
                            .policy = accepted->policy,
                            .workspace = accepted->workspace,
                            .spec = spec,
                            .at = now - age,
                            .inherited = inherited,
                            .predecessors = predecessors,
                            .queue_shards = m_options.shard.layout->shards_of(accepted->queue)});
        if (const auto progress = m_persisted_progress.find(id);
            progress != m_persisted_progress.end()) {
            m_scheduler.restore(id, progress->second);
        }
    }
    catch (const job::spec_error& failure) {
        job_log.error(fmt::format("job {} can't be loaded: {}", id.str(), failure.what()));
        // Without its progress, tasks that are done would run again, under any later leader too, so
        // the row stays.
        m_scheduler.remove_job(id);
        m_persisted_progress.erase(id);
        return;
    }
    schedule_plan();
}

void leader_session::cancel(const job_id& id)
{
    m_scheduler.cancel(id, m_context.loop.now());
    schedule_plan();
}

void leader_session::handle_worker_row(const stored_row& row)
{
    const instance_id id(row.at.key);
    m_other_workers.erase(id);
    if (row.removed) {
        if (m_scheduler.workers().contains(id)) {
            worker_log.info(fmt::format("worker {} is no longer listed", id.str()));
        }
        m_scheduler.note_worker_unlisted(id, m_context.loop.now());
        schedule_plan();
        return;
    }
    auto listing = m_context.codec.parse_worker(row);
    if (!listing) {
        worker_log.warning(
            fmt::format("worker {} has a malformed row, version {}", id.str(), row.version));
        m_scheduler.note_worker_unlisted(id, m_context.loop.now());
        return;
    }
    if (!owns(*listing)) {
        if (m_exchange->is_enabled()) {
            m_other_workers[id] = row;
        }
        return;
    }
    const bool starts_in_future =
        listing->started_at &&
        *listing->started_at > m_context.loop.wall_now() + max_clock_difference;
    if (starts_in_future) {
        listing->started_at.reset();
    }
    const auto existing = m_scheduler.workers().find(id);
    if (existing != m_scheduler.workers().end() && existing->second.listed &&
        existing->second.listing == *listing) {
        return;
    }
    if (m_scheduler.is_outdated(*listing)) {
        worker_log.info(fmt::format("worker {} has a row of an earlier incarnation, version {}",
                                    id.str(), row.version));
        return;
    }
    if (starts_in_future) {
        worker_log.warning(fmt::format("worker {} has a row with a start in the future, version {}",
                                       id.str(), row.version));
    }
    worker_log.info(fmt::format("worker {} listed at {} in {}{}, version {}", id.str(),
                                listing->address, listing->service.str(),
                                describe_departure(*listing), row.version));
    m_workers_changed = true;
    m_machines->note_worker(*listing);
    m_scheduler.note_worker_listed(std::move(*listing), m_context.loop.now());
    schedule_plan();
}

bool leader_session::owns(const job::worker_listing& listing) const
{
    return m_exchange->ownership().owns(listing.machine, listing.rack);
}

void leader_session::take_over_machine(const std::string& machine, fencing_token token)
{
    leader_log.info(fmt::format("shard {}: machine {} received, token {}", m_options.shard.number,
                                machine, token));
    m_lease.raise_token(machine, token);
    for (const auto& [id, row] : std::map(m_other_workers)) {
        const auto listing = m_context.codec.parse_worker(row);
        if (listing && listing->machine == machine) {
            handle_worker_row(row);
        }
    }
}

void leader_session::release_worker(const instance_id& id)
{
    m_poller->forget(id);
    m_scheduler.note_worker_unlisted(id, m_context.loop.now());
}

void leader_session::become_ready()
{
    if (m_ready) {
        return;
    }
    m_ready = true;
    for (const auto& [id, progress] : m_persisted_progress) {
        const job::job_record* const job = m_scheduler.find(id);
        if (job == nullptr) {
            // A predecessor removed the job's other rows but ended before it removed this one.
            m_progress_writer->queue_removal(progress_address(m_options.shard.number, id));
        }
        else if (is_terminal(job->state())) {
            m_ended_jobs.push_back({id, m_context.loop.now()});
        }
    }
    m_persisted_progress.clear();
    leader_log.info(fmt::format(
        "leader session of shard {} of {} ready: {} jobs, generation {}, token {}",
        m_options.shard.number, m_options.shard.layout->count(), m_scheduler.job_count(),
        m_options.claim.generation, m_options.claim_row.version));
    schedule_plan();
}

void leader_session::schedule_plan()
{
    if (m_plan_timer == timer_id::none) {
        m_plan_timer = m_context.loop.call_after(plan_delay, [this] {
            m_plan_timer = timer_id::none;
            plan();
        });
    }
}

void leader_session::plan()
{
    check_lease();
    if (!m_ready || !m_workers_read || m_paused || m_leadership_lost || m_catching_up) {
        return;
    }
    const time_point started = m_context.loop.now();
    if (!check_job_view(started)) {
        m_poller->send(m_scheduler.plan_stops(started));
        return;
    }
    if (std::exchange(m_workers_changed, false)) {
        m_poller->refresh();
    }
    m_poller->send(m_scheduler.plan(started, m_context.loop.wall_now()));
    if (!std::exchange(m_has_planned, true)) {
        update_polling();
    }
    m_progress_writer->refresh();
    log_decisions();
    m_plan_seconds.record(m_context.loop.now() - started);
}

bool leader_session::check_job_view(time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_job_rows->current_as_of());
    const bool outdated = age > max_job_view_age;
    if (outdated != std::exchange(m_job_view_outdated, outdated)) {
        leader_log.warning(
            outdated
                ? fmt::format("only stop orders: the view of the jobs is {} ms old", age.count())
                : fmt::format("orders resume: the view of the jobs is {} ms old", age.count()));
    }
    return !outdated;
}

void leader_session::log_decisions()
{
    for (const job::decision& made : m_scheduler.take_decisions()) {
        log_decision(made);
    }
    m_quota_reporter.log_events(m_scheduler.quota());
}

void leader_session::log_decision(const job::decision& made)
{
    if (made.job.empty()) {
        worker_log.info(describe(made));
        return;
    }
    if (made.kind == job::decision_kind::first_start) {
        m_first_start_seconds.record(made.age);
    }
    else if (made.kind == job::decision_kind::crash_noted) {
        m_crash_suspicions.add();
    }
    else if (made.kind == job::decision_kind::job_ended) {
        note_job_ended(made);
    }
    job_log.info(describe_job_decision(made));
}

void leader_session::note_job_ended(const job::decision& made)
{
    m_ended_jobs.push_back({made.job, m_context.loop.now()});
    if (made.state == job::job_state::completed) {
        m_job_seconds.record(made.age);
    }
    m_context.metrics
        .counter({"jobs_over_total",
                  "Jobs that reached a final state",
                  {{"state", std::string(name_of(made.state))}}})
        .add();
}

void leader_session::refresh_gauges()
{
    const time_point now = m_context.loop.now();
    const auto& workers = m_scheduler.workers();
    m_usable_workers.set(double(std::count_if(
        workers.begin(), workers.end(), [now](auto& each) { return each.second.is_usable(now); })));
    m_open_jobs.set(double(m_scheduler.open_count()));
    m_waiting_long_running.set(double(m_scheduler.waits().tasks));
    m_longest_wait.set(std::chrono::duration<double>(m_scheduler.waits().longest).count());
    m_job_wait_gauges.set(m_scheduler.waiting_jobs().by_service());
    m_quota_reporter.refresh(m_scheduler.quota(), now);
    m_learned_gauges.set(m_scheduler.learned());
}

void leader_session::remove_expired_jobs()
{
    const time_point now = m_context.loop.now();
    while (!m_ended_jobs.empty() &&
           now - m_ended_jobs.front().ended_at > m_options.state_retention && !m_paused) {
        remove_job_rows(m_ended_jobs.front().id);
        m_ended_jobs.pop_front();
    }
}

void leader_session::remove_job_rows(const job_id& id)
{
    row_transaction transaction;
    transaction.writes.push_back({accepted_address(m_options.shard.number, id), std::nullopt});
    transaction.writes.push_back({cancelled_address(m_options.shard.number, id), std::nullopt});
    m_context.store.commit(std::move(transaction), removal_timeout,
                           [this, id, alive = m_alive](const commit_result& result) {
                               if (!*alive) {
                                   return;
                               }
                               if (result.outcome != commit_outcome::applied) {
                                   m_ended_jobs.push_back({id, m_context.loop.now()});
                                   return;
                               }
                               m_progress_writer->queue_removal(
                                   progress_address(m_options.shard.number, id));
                               m_scheduler.remove_job(id);
                           });
}

void leader_session::handle_renewal(time_point sent)
{
    m_lease.extend(sent + m_options.lease);
    check_lease();
}

void leader_session::check_lease()
{
    const bool expired = !m_lease.authority();
    if (expired != m_paused) {
        m_paused = expired;
        leader_log.warning(expired ? "leader lease expired: sending no orders"
                                   : "leader lease renewed");
        update_polling();
        if (!expired && m_ready) {
            m_catching_up = true;
            m_job_rows->refresh();
        }
    }
}

void leader_session::update_polling()
{
    // Until the jobs are known and those occurrences have started that are due, the ends of their
    // tasks would be acknowledged without effect, and their runs stopped.
    m_poller->set_paused(m_paused || !m_has_planned || m_leadership_lost);
}

void leader_session::tick()
{
    m_tick_timer = m_context.loop.call_after(tick_period, [this] {
        if (m_ready && m_workers_read && !m_paused && !m_leadership_lost) {
            m_machines->tick(m_context.loop.now());
        }
        m_workers_changed = true; // Lets the poller remove ended workers once per tick.
        plan();
        if (m_ready && m_workers_read && !m_paused && !m_leadership_lost) {
            m_quota_exchange->tick();
            m_withdrawn_jobs.tick();
        }
        refresh_gauges();
        remove_expired_jobs();
        tick();
    });
}

void leader_session::step_down()
{
    if (!std::exchange(m_leadership_lost, true)) {
        update_polling();
        m_on_lost();
    }
}

void leader_session::apply(std::shared_ptr<const fleet_config> config)
{
    m_config = std::move(config);
    m_scheduler.set_queues(queues_of(*m_config));
    m_scheduler.set_workspaces(m_config->workspaces);
    m_quota_exchange->note_workspaces();
    m_machines->set_pools(m_config->pools);
    schedule_plan();
}

void leader_session::add_wave(const wave_request& request, time_point first_seen)
{
    m_machines->add_wave(request, first_seen);
}

std::optional<job::job_status> leader_session::state_of(const job_id& id) const
{
    const job::job_record* const job = m_scheduler.find(id);
    if (job == nullptr) {
        return std::nullopt;
    }
    // A state that isn't durable yet must not be reported: a successor might report another.
    const bool end_hidden = is_terminal(job->state()) && !m_scheduler.is_durable(id) &&
                            job->state() != job::job_state::cancelled;
    return end_hidden ? job::job_status{.state = job::job_state::running} : job->status();
}

std::size_t leader_session::pending(const std::string& queue) const
{
    return m_scheduler.pending(queue);
}

} // namespace plantaindoor::fleet
