// Simulates one pool's entries, targets and callers in virtual time, driven by a list of arrivals,
// to compare strategies for sharing slots. Decisions are made by the production dispatcher.
#pragma once

#include "fakes/uniform_fleet.hpp"
#include "plantaindoor/request/dispatcher.hpp"
#include "plantaindoor/request/slot_shares.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace plantaindoor::bench {

struct arrival {
    nanoseconds at{};
    std::size_t entry = 0;
    nanoseconds work{};
    version::priority priority = version::priority::interactive;
};

struct workload_options {
    std::size_t entries = 7;
    /// Mean number of slots that the arrivals occupy.
    double busy_slots = 60;
    milliseconds mean_work{50};
    seconds length{60};
    std::uint64_t seed = 5;
};

/// Creates Poisson arrivals whose distribution over the entries is redrawn every two seconds, which
/// yields bursts at single entries.
inline std::vector<arrival> make_workload(const workload_options& options)
{
    std::mt19937_64 random(options.seed);
    const double rate =
        options.busy_slots / std::chrono::duration<double>(options.mean_work).count();
    std::exponential_distribution<double> arrival_interval(rate);
    std::exponential_distribution<double> work(1.0);
    std::vector<arrival> result;
    std::vector<double> weights(options.entries, 1.0);
    double next_redraw = 0;
    double at = arrival_interval(random);
    while (at < static_cast<double>(options.length.count())) {
        if (at >= next_redraw) {
            next_redraw += 2;
            for (double& weight : weights) {
                weight = std::exp(0.7 * std::normal_distribution<double>()(random));
            }
        }
        std::discrete_distribution<std::size_t> entry(weights.begin(), weights.end());
        const double duration =
            work(random) * std::chrono::duration<double>(options.mean_work).count();
        result.push_back(
            {.at = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(at)),
             .entry = entry(random),
             .work =
                 std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(duration)),
             .priority = result.size() % 10 == 0 ? version::priority::urgent
                                                 : version::priority::background});
        at += arrival_interval(random);
    }
    return result;
}

enum class fault { none, freeze, peers_disconnected, crash };

struct trial_options {
    std::size_t entries = 7;
    std::size_t targets = 10;
    milliseconds report_period{200};
    milliseconds request_timeout{1000};
    nanoseconds one_way_delay = milliseconds{1};
    /// Fault injected for the middle third of the trial: entry 0 freezes, or no report is
    /// delivered. With `crash`, entry 0 ends at the beginning of that third and doesn't return.
    fault injected_fault = fault::none;
    /// Whether targets queue requests that exceed their slots instead of refusing them.
    bool targets_queue = false;
    seconds length{60};
};

struct trial_result {
    std::size_t requests = 0;
    std::size_t in_time = 0;
    /// Requests that reached a target whose slots were all in use.
    std::size_t beyond_slots = 0;
    std::size_t refused_by_entries = 0;
    double p50_wait_ms = 0;
    double p99_wait_ms = 0;
    double p99_urgent_wait_ms = 0;
    double messages_per_second = 0;

    [[nodiscard]] double goodput() const
    {
        return requests == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(requests);
    }
};

using share_factory = std::unique_ptr<request::slot_shares> (*)(const request::share_options&);

/// Runs the workload through one dispatcher per entry. Targets refuse or queue requests that exceed
/// their slots, see `trial_options::targets_queue`.
class slot_trial {
public:
    slot_trial(const trial_options& options, share_factory make_shares) : m_options(options)
    {
        const auto fleet = fakes::uniform_fleet({.instances_per_pool = options.targets});
        std::vector<entry_id> ids;
        for (std::size_t i = 0; i < options.entries; ++i) {
            ids.emplace_back(fakes::numbered("e", i));
        }
        for (std::size_t i = 0; i < options.entries; ++i) {
            const request::dispatcher_options own{
                .self = ids[i],
                .zone = availability_zone_id(fakes::numbered("z", i % 3)),
                .seed = i + 1};
            m_entries.push_back({});
            m_entries[i].id = ids[i];
            m_entries[i].dispatcher = std::make_unique<request::dispatcher>(
                own, make_shares({.self = ids[i], .report_lifetime = milliseconds{3000}}));
            m_entries[i].dispatcher->set_entries(ids, time_point{});
            m_entries[i].dispatcher->update(fleet, time_point{});
            schedule(options.report_period * (i + 1) / options.entries, [this, i] { report(i); });
        }
    }

    trial_result run(const std::vector<arrival>& workload)
    {
        schedule_fault();
        for (const arrival& each : workload) {
            schedule(each.at, [this, &each] { handle_arrival(each); });
        }
        const nanoseconds end = m_options.length + seconds{3};
        while (!m_events.empty() && m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
        return summary(workload.size());
    }

private:
    struct event {
        nanoseconds at{};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct waiting_request {
        nanoseconds arrived{};
        nanoseconds work{};
        version::priority priority = version::priority::interactive;
        request::tried_targets tried;
    };
    struct target_queue {
        std::size_t busy = 0;
        std::queue<std::pair<std::size_t, request::target_grant>> waiting;
    };
    struct entry_state {
        entry_id id;
        std::unique_ptr<request::dispatcher> dispatcher;
        std::map<request::ticket_id, waiting_request> requests;
        std::vector<std::function<void()>> frozen_events;
        bool frozen = false;
        bool crashed = false;
        std::uint64_t sequence = 0;
        nanoseconds timer = nanoseconds::max();
    };

    void schedule(nanoseconds when, std::function<void()> run)
    {
        m_events.push({when, ++m_order, std::move(run)});
    }

    [[nodiscard]] time_point now() const { return time_point{} + m_now; }

    /// Runs the callback now, or once the entry is no longer frozen. Drops it if the entry has
    /// ended.
    void run_on_entry(std::size_t index, std::function<void()> run)
    {
        entry_state& entry = m_entries[index];
        if (entry.frozen) {
            entry.frozen_events.push_back(std::move(run));
        }
        else if (!entry.crashed) {
            run();
        }
    }

    void schedule_fault()
    {
        const nanoseconds begin = m_options.length / 3;
        const nanoseconds end = 2 * begin;
        if (m_options.injected_fault == fault::freeze) {
            schedule(begin, [this] { m_entries[0].frozen = true; });
            schedule(end, [this] { unfreeze(); });
        }
        if (m_options.injected_fault == fault::peers_disconnected) {
            schedule(begin, [this] { m_peers_disconnected = true; });
            schedule(end, [this] { m_peers_disconnected = false; });
        }
        if (m_options.injected_fault == fault::crash) {
            schedule(begin, [this] { m_entries[0].crashed = true; });
            // The entry stays registered until its lease expires.
            schedule(begin + seconds{5}, [this] { remove_first_entry(); });
        }
    }

    void unfreeze()
    {
        m_entries[0].frozen = false;
        const auto deferred = std::exchange(m_entries[0].frozen_events, {});
        for (const auto& each : deferred) {
            each();
        }
    }

    void remove_first_entry()
    {
        std::vector<entry_id> live;
        for (std::size_t i = 1; i < m_entries.size(); ++i) {
            live.push_back(m_entries[i].id);
        }
        for (std::size_t i = 1; i < m_entries.size(); ++i) {
            m_entries[i].dispatcher->set_entries(live, now());
            advance(i);
        }
    }

    void handle_arrival(const arrival& each)
    {
        // The platform's load balancer skips entries that don't answer.
        const bool skip = m_entries[each.entry].crashed || m_entries[each.entry].frozen;
        const std::size_t index = skip ? 1 + each.entry % (m_entries.size() - 1) : each.entry;
        submit(index, {.arrived = m_now, .work = each.work, .priority = each.priority});
    }

    void submit(std::size_t index, waiting_request request)
    {
        entry_state& entry = m_entries[index];
        const request::caller_request submitted{.service = service_id("s0"),
                                                .team = team_id("team"),
                                                .priority = request.priority,
                                                .arrived = time_point{} + request.arrived,
                                                .deadline = time_point{} + request.arrived +
                                                            m_options.request_timeout};
        try {
            const auto ticket = entry.dispatcher->submit(submitted, request.tried, now());
            entry.requests.emplace(ticket, std::move(request));
        }
        catch (const request::refusal&) {
            ++m_refused_by_entries;
        }
        advance(index);
    }

    void advance(std::size_t index)
    {
        entry_state& entry = m_entries[index];
        for (auto& action : entry.dispatcher->advance(now())) {
            if (const auto* grant = std::get_if<request::target_grant>(&action)) {
                send(index, *grant);
            }
            else {
                entry.requests.erase(std::get<request::ticket_refusal>(action).ticket);
                ++m_refused_by_entries;
            }
        }
        set_timer(index);
    }

    void set_timer(std::size_t index)
    {
        entry_state& entry = m_entries[index];
        const time_point next = entry.dispatcher->next_advance();
        if (next == time_point::max()) {
            return;
        }
        const nanoseconds when = std::max(next.time_since_epoch(), m_now + milliseconds{1});
        if (entry.timer > m_now && entry.timer <= when) {
            return;
        }
        entry.timer = when;
        schedule(when, [this, index, when] {
            if (m_entries[index].timer == when) {
                m_entries[index].timer = nanoseconds::max();
                run_on_entry(index, [this, index] { advance(index); });
            }
        });
    }

    void send(std::size_t index, const request::target_grant& grant)
    {
        schedule(m_now + m_options.one_way_delay,
                 [this, index, grant] { arrive_at_target(index, grant); });
    }

    void arrive_at_target(std::size_t index, const request::target_grant& grant)
    {
        target_queue& target = m_targets[grant.target];
        if (target.busy < slots_per_target) {
            run_on_target(index, grant);
            return;
        }
        if (m_options.targets_queue) {
            ++m_beyond_slots;
            target.waiting.emplace(index, grant);
            return;
        }
        ++m_beyond_slots;
        schedule(m_now + m_options.one_way_delay, [this, index, grant] {
            run_on_entry(index, [this, index, grant] { handle_refused(index, grant); });
        });
    }

    void run_on_target(std::size_t index, const request::target_grant& grant)
    {
        target_queue& target = m_targets[grant.target];
        ++target.busy;
        const waiting_request& request = m_entries[index].requests.at(grant.ticket);
        const nanoseconds wait = m_now - request.arrived;
        m_waits.push_back(wait);
        if (request.priority == version::priority::urgent) {
            m_urgent_waits.push_back(wait);
        }
        schedule(m_now + request.work, [this, index, grant] { end(index, grant); });
    }

    void end(std::size_t index, const request::target_grant& grant)
    {
        target_queue& target = m_targets[grant.target];
        --target.busy;
        if (!target.waiting.empty()) {
            const auto [next, next_grant] = target.waiting.front();
            target.waiting.pop();
            run_on_target(next, next_grant);
        }
        schedule(m_now + m_options.one_way_delay, [this, index, grant] {
            run_on_entry(index, [this, index, grant] { handle_finished(index, grant); });
        });
    }

    void handle_refused(std::size_t index, const request::target_grant& grant)
    {
        entry_state& entry = m_entries[index];
        entry.dispatcher->release(grant.ticket, request::attempt_result::refused, now());
        waiting_request retry = std::move(entry.requests.at(grant.ticket));
        entry.requests.erase(grant.ticket);
        retry.tried.instances = {grant.target};
        submit(index, std::move(retry));
    }

    void handle_finished(std::size_t index, const request::target_grant& grant)
    {
        entry_state& entry = m_entries[index];
        entry.dispatcher->release(grant.ticket, request::attempt_result::answered, now());
        const auto request = entry.requests.find(grant.ticket);
        m_in_time += m_now - request->second.arrived <= m_options.request_timeout ? 1 : 0;
        entry.requests.erase(request);
        advance(index);
    }

    void report(std::size_t index)
    {
        run_on_entry(index, [this, index] {
            entry_state& entry = m_entries[index];
            const request::demand_report report{.entry = entry.id,
                                                .incarnation = 1,
                                                .sequence = ++entry.sequence,
                                                .services = entry.dispatcher->report_demand(now())};
            for (std::size_t peer = 0; peer < m_entries.size() && !m_peers_disconnected; ++peer) {
                if (peer == index) {
                    continue;
                }
                ++m_messages;
                schedule(m_now + m_options.one_way_delay, [this, peer, report] {
                    run_on_entry(peer, [this, peer, report] {
                        m_entries[peer].dispatcher->hear(report, now());
                        advance(peer);
                    });
                });
            }
        });
        if (m_now + m_options.report_period < m_options.length) {
            schedule(m_now + m_options.report_period, [this, index] { report(index); });
        }
    }

    [[nodiscard]] static double wait_quantile_ms(std::vector<nanoseconds> waits, double quantile)
    {
        if (waits.empty()) {
            return 0;
        }
        std::ranges::sort(waits);
        const auto position =
            static_cast<std::size_t>(quantile * static_cast<double>(waits.size() - 1));
        return std::chrono::duration<double, std::milli>(waits[position]).count();
    }

    [[nodiscard]] trial_result summary(std::size_t requests)
    {
        const double length = static_cast<double>(m_options.length.count());
        return {.requests = requests,
                .in_time = m_in_time,
                .beyond_slots = m_beyond_slots,
                .refused_by_entries = m_refused_by_entries,
                .p50_wait_ms = wait_quantile_ms(m_waits, 0.5),
                .p99_wait_ms = wait_quantile_ms(m_waits, 0.99),
                .p99_urgent_wait_ms = wait_quantile_ms(m_urgent_waits, 0.99),
                .messages_per_second = static_cast<double>(m_messages) / length};
    }

    static constexpr std::size_t slots_per_target = 8;

    trial_options m_options;
    std::vector<entry_state> m_entries;
    std::priority_queue<event> m_events;
    std::map<instance_id, target_queue> m_targets;
    std::vector<nanoseconds> m_waits;
    std::vector<nanoseconds> m_urgent_waits;
    nanoseconds m_now{0};
    std::uint64_t m_order = 0;
    std::size_t m_in_time = 0;
    std::size_t m_beyond_slots = 0;
    std::size_t m_refused_by_entries = 0;
    std::size_t m_messages = 0;
    bool m_peers_disconnected = false;
};

} // namespace plantaindoor::bench
