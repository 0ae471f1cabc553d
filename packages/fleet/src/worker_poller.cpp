#include "plantaindoor/fleet/worker_poller.hpp"

#include "plantaindoor/process/logging.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr process::log_part worker_log("worker");
/// Steps by which the interval rises and falls with each poll; slower downwards, to be steady.
constexpr milliseconds interval_rise{4};
constexpr milliseconds interval_fall{1};

metric_options counter_named(std::string name, std::string help)
{
    return {.name = std::move(name), .help = std::move(help), .labels = {}};
}

} // namespace

worker_poller::worker_poller(event_loop& loop, worker_gateway& workers, job::scheduler& scheduler,
                             const leader_lease& lease, metrics_registry& metrics,
                             worker_poller_options options, event on_change, event on_stale_token)
    : m_loop(loop),
      m_workers(workers),
      m_scheduler(scheduler),
      m_lease(lease),
      m_options(options),
      m_on_change(std::move(on_change)),
      m_on_stale_token(std::move(on_stale_token)),
      m_alive(std::make_shared<bool>(true)),
      m_interval(options.poll_interval),
      m_polls(metrics.counter(counter_named("worker_looks_total", "Polls sent to workers"))),
      m_missed_polls(metrics.counter(
          counter_named("worker_looks_missed_total", "Polls that weren't answered"))),
      m_starts(metrics.counter(counter_named("task_starts_total", "Start orders sent"))),
      m_stops(metrics.counter(counter_named("task_stops_total", "Stop orders sent"))),
      m_throttles(metrics.counter(counter_named("task_paces_total", "Throttle orders sent")))
{
}

worker_poller::~worker_poller()
{
    *m_alive = false;
    for (auto& [id, polled] : m_polled) {
        m_loop.cancel(polled.timer);
    }
}

worker_address worker_poller::address_of(const instance_id& id) const
{
    const auto& workers = m_scheduler.workers();
    const auto found = workers.find(id);
    return {.id = id, .address = found == workers.end() ? "" : found->second.listing.address};
}

std::optional<machine_authority> worker_poller::authority_for(const instance_id& id) const
{
    const auto found = m_scheduler.workers().find(id);
    return found == m_scheduler.workers().end() ? m_lease.authority()
                                                : m_lease.authority(found->second.listing.machine);
}

void worker_poller::forget(const instance_id& id)
{
    const auto found = m_polled.find(id);
    if (found == m_polled.end()) {
        return;
    }
    m_loop.cancel(found->second.timer);
    if (found->second.polling) {
        m_forgotten.insert(id);
    }
    m_polled.erase(found);
}

void worker_poller::refresh()
{
    if (m_paused) {
        return;
    }
    std::erase_if(m_polled, [this](auto& each) {
        const bool obsolete = !m_scheduler.needs_polling(each.first) && !each.second.polling;
        if (obsolete) {
            m_loop.cancel(each.second.timer);
        }
        return obsolete;
    });
    for (const auto& [id, worker] : m_scheduler.workers()) {
        polled_worker& polled = m_polled[id];
        if (!polled.polling && polled.timer == timer_id::none) {
            poll(id);
        }
    }
}

void worker_poller::set_paused(bool paused)
{
    if (std::exchange(m_paused, paused) && !paused) {
        refresh();
    }
}

void worker_poller::poll_after(const instance_id& id, milliseconds delay)
{
    polled_worker& polled = m_polled[id];
    m_loop.cancel(polled.timer);
    polled.timer = m_loop.call_after(delay, [this, id, due = m_loop.now() + delay] {
        m_polled[id].timer = timer_id::none;
        note_lateness(due);
        poll(id);
    });
}

void worker_poller::poll(const instance_id& id)
{
    const auto authority = authority_for(id);
    if (m_paused || !authority || !m_scheduler.needs_polling(id)) {
        return;
    }
    m_polled[id].polling = true;
    m_polls.add();
    const time_point sent = m_loop.now();
    const job::poll_order order = m_scheduler.next_poll(id, sent);
    m_workers.poll(address_of(id), order, authority->token,
                   [this, id, sent, start = m_scheduler.latest_start(id),
                    alive = m_alive](const poll_result& result) {
                       if (*alive) {
                           handle_poll_result(id, sent, start, result);
                       }
                   });
}

bool worker_poller::has_restarted(const instance_id& id,
                                  const std::optional<wall_time>& start) const
{
    const auto latest = m_scheduler.latest_start(id);
    return start && latest && *start < *latest;
}

void worker_poller::handle_poll_result(const instance_id& id, time_point sent,
                                       const std::optional<wall_time>& start,
                                       const poll_result& result)
{
    if (m_forgotten.erase(id) > 0) {
        return;
    }
    polled_worker& polled = m_polled[id];
    polled.polling = false;
    const time_point now = m_loop.now();
    // Of a report the scheduler knows the incarnation, and a higher token is higher under any.
    if (has_restarted(id, start) && result.answer != job::order_answer::accepted &&
        result.answer != job::order_answer::stale_token) {
        poll_after(id, m_interval);
        return;
    }
    switch (result.answer) {
    case job::order_answer::accepted:
        m_scheduler.note_report(id, result.report, sent, now);
        poll_after(id, delay_after_report(id, polled));
        break;
    case job::order_answer::other_instance:
        worker_log.info(
            fmt::format("worker {} has ended: its address belongs to another instance", id.str()));
        m_scheduler.note_worker_ended(id, job::worker_end::other_address, now);
        break;
    case job::order_answer::stale_token:
        m_on_stale_token();
        poll_after(id, m_options.retry_delay);
        break;
    default:
        m_missed_polls.add();
        worker_log.info(fmt::format("worker {} missed a poll after {} ms: {}", id.str(),
                                    std::chrono::duration_cast<milliseconds>(now - sent).count(),
                                    name_of(result.answer)));
        m_scheduler.note_missed_poll(id, now);
        poll_after(id, m_options.retry_delay);
        break;
    }
    m_on_change();
}

void worker_poller::note_lateness(time_point due)
{
    const bool late = m_loop.now() - due > m_options.max_lateness;
    m_interval = std::clamp(m_interval + (late ? interval_rise : -interval_fall),
                            m_options.poll_interval, m_options.max_poll_interval);
}

milliseconds worker_poller::delay_after_report(const instance_id& id, polled_worker& polled)
{
    const auto worker = m_scheduler.workers().find(id);
    const bool all_persisted = worker == m_scheduler.workers().end() ||
                               m_scheduler.dirty_jobs().empty() ||
                               worker->second.committed_sequence >= worker->second.applied_sequence;
    if (all_persisted) {
        polled.unacknowledged_delay = milliseconds(0);
        return m_interval;
    }
    polled.unacknowledged_delay =
        std::clamp(polled.unacknowledged_delay * 2, m_interval,
                   std::max(m_interval, m_options.max_unacknowledged_time));
    return polled.unacknowledged_delay;
}

void worker_poller::send(const job::orders& orders)
{
    for (const job::stop_order& order : orders.stops) {
        if (const auto authority = authority_for(order.worker)) {
            send_stop(order, authority->token);
        }
    }
    for (const job::start_order& order : orders.starts) {
        if (const auto authority = authority_for(order.worker)) {
            send_start(order, authority->token);
        }
        else {
            m_scheduler.note_start(order.worker, order.run, job::order_answer::lease_expired,
                                   m_loop.now());
        }
    }
    for (const job::throttle_order& order : orders.throttles) {
        if (const auto authority = authority_for(order.worker)) {
            m_throttles.add();
            m_workers.throttle(address_of(order.worker), order, authority->token,
                               [](job::order_answer) {
                                   // The next report shows whether the throttling has taken effect.
                               });
        }
    }
}

void worker_poller::send_stop(const job::stop_order& order, fencing_token token)
{
    m_stops.add();
    m_workers.stop(address_of(order.worker), order, token,
                   [this, order, start = m_scheduler.latest_start(order.worker),
                    alive = m_alive](job::order_answer answer) {
                       // The later incarnation of a worker is sent its own stop.
                       if (*alive && !has_restarted(order.worker, start)) {
                           m_scheduler.note_stop(order.worker, order.run, answer, m_loop.now());
                           m_on_change();
                       }
                   });
}

void worker_poller::send_start(const job::start_order& order, fencing_token token)
{
    m_starts.add();
    m_workers.start(address_of(order.worker), order, token,
                    [this, worker = order.worker, run = order.run,
                     start = m_scheduler.latest_start(order.worker),
                     alive = m_alive](job::order_answer answer) {
                        if (!*alive) {
                            return;
                        }
                        if (answer != job::order_answer::accepted) {
                            worker_log.info(fmt::format("start of {} attempt {} on {}: {}",
                                                        to_string(run.task), run.attempt,
                                                        worker.str(), name_of(answer)));
                        }
                        if (answer == job::order_answer::stale_token) {
                            m_on_stale_token();
                        }
                        if (has_restarted(worker, start)) {
                            // Either incarnation may have given it.
                            answer = job::order_answer::unanswered;
                        }
                        m_scheduler.note_start(worker, run, answer, m_loop.now());
                        m_on_change();
                    });
}

} // namespace plantaindoor::fleet
