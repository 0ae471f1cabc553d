#include "model_workers.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

constexpr milliseconds one_way{1};
constexpr milliseconds order_timeout{500};
constexpr milliseconds stop_time{300};
constexpr milliseconds max_lease{10000};
constexpr milliseconds least_late{2000};
constexpr milliseconds most_late{12000};
/// A cancelled job's tasks may still be started for so long.
constexpr milliseconds cancel_time{3000};

} // namespace

void model_workers::begin(const job::worker_listing& listing)
{
    life& worker = m_lives[listing.id];
    worker.listing = listing;
    worker.clock_start = m_loop.now();
    worker.clock_rate = std::uniform_real_distribution<double>(0.98, 1.0)(m_random);
}

void model_workers::end(const instance_id& id)
{
    const auto found = m_lives.find(id);
    if (found == m_lives.end()) {
        return;
    }
    life& worker = found->second;
    m_loop.cancel(worker.lapse);
    for (const auto& [run, active] : worker.running) {
        remember(run, "is lost with " + id.str());
        m_loop.cancel(active.finish);
        --m_tasks[run.task].running;
    }
    void_ends(worker);
    for (auto& waiting : worker.waiting) {
        m_loop.post(std::move(waiting));
    }
    m_lives.erase(found);
}

void model_workers::void_ends(const life& worker)
{
    for (const job::ended_run& each : worker.ended) {
        task_history& task = m_tasks[each.run.task];
        if (each.end_reason == job::run_end_reason::done && !task.done_noted) {
            task.done = false;
            remember(each.run, "has an end that no longer counts");
        }
    }
}

std::size_t model_workers::running() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : m_lives) {
        count += worker.running.size();
    }
    return count;
}

path_trouble model_workers::trouble(const std::string& entry, const instance_id& worker) const
{
    const auto found = m_troubles.find({entry, worker});
    return found == m_troubles.end() ? path_trouble::none : found->second;
}

milliseconds model_workers::clock_of(const life& worker) const
{
    const auto passed =
        std::chrono::duration<double, std::milli>(m_loop.now() - worker.clock_start);
    return milliseconds(static_cast<std::int64_t>(passed.count() * worker.clock_rate));
}

void model_workers::extend(life& worker, milliseconds deadline)
{
    worker.lease = std::max(worker.lease, std::min(deadline, clock_of(worker) + max_lease));
    schedule_lapse(worker);
}

void model_workers::schedule_lapse(life& worker)
{
    m_loop.cancel(worker.lapse);
    const double left = double((worker.lease - clock_of(worker)).count()) / worker.clock_rate;
    const auto wait = milliseconds(std::max<std::int64_t>(static_cast<std::int64_t>(left), 0) + 1);
    worker.lapse = m_loop.call_after(wait, [this, &worker] {
        while (!worker.running.empty()) {
            end_run(worker, worker.running.begin()->first, job::run_end_reason::lapsed);
        }
        void_ends(worker);
    });
}

void model_workers::break_rule(const std::string& what, const job::run_name& run)
{
    m_broken.push_back(what + ": " + to_string(run.task) + " attempt " +
                       std::to_string(run.attempt) + m_events[run.task]);
}

void model_workers::remember(const job::run_name& run, const std::string& event)
{
    const auto now = std::chrono::duration_cast<milliseconds>(m_loop.now().time_since_epoch());
    m_events[run.task] += "\n  at " + std::to_string(now.count()) + " attempt " +
                          std::to_string(run.attempt) + " " + event + " (" +
                          std::to_string(m_tasks[run.task].running) + ")";
}

void model_workers::judge_start(const life& worker, const job::start_order& order, arrival when)
{
    const job::task_name& name = order.run.task;
    if (!m_jobs.contains(name.job)) {
        break_rule("a job that nobody submitted", order.run);
        return;
    }
    const watched_job& job = m_jobs.at(name.job);
    task_history& task = m_tasks[name];
    if (task.running > 0) {
        break_rule("two runs at a time", order.run);
    }
    if (task.done) {
        break_rule("a run after one that was done", order.run);
    }
    if (task.noted_failures.size() >= job.max_attempts) {
        break_rule("a run beyond the attempts", order.run);
    }
    for (const std::uint32_t earlier : job.spec->steps[name.step].depends_on) {
        for (std::uint32_t index = 0; index < job.spec->steps[earlier].count; ++index) {
            if (!m_tasks[{name.job, name.occurrence, earlier, index}].ever_done) {
                break_rule("a run before an earlier step was done", order.run);
                return;
            }
        }
    }
    // Bounds of time don't hold for orders that were carried out late.
    if (when == arrival::prompt && job.cancelled && m_loop.now() > *job.cancelled + cancel_time) {
        break_rule("a run of a cancelled job on " + worker.listing.id.str(), order.run);
    }
}

job::order_answer model_workers::start(const job::start_order& order, fencing_token token,
                                       arrival when)
{
    const auto found = m_lives.find(order.worker);
    if (found == m_lives.end()) {
        return job::order_answer::other_instance;
    }
    life& worker = found->second;
    if (token < worker.token) {
        return job::order_answer::stale_token;
    }
    worker.token = token;
    if (worker.running.contains(order.run)) {
        return job::order_answer::accepted;
    }
    const auto highest = worker.highest_ended.find(order.run.task);
    if (highest != worker.highest_ended.end() && order.run.attempt <= highest->second) {
        return job::order_answer::stale_run;
    }
    if (order.deadline <= clock_of(worker)) {
        return job::order_answer::lease_expired;
    }
    extend(worker, order.deadline);
    const job::resources need = order.spec->steps[order.run.task.step].footprint();
    if (!(worker.listing.capacity - worker.used).can_fit(need)) {
        return job::order_answer::no_capacity;
    }
    remember(order.run, "starts on " + worker.listing.id.str() + " under " + std::to_string(token));
    judge_start(worker, order, when);
    ++m_starts;
    ++m_tasks[order.run.task].running;
    worker.used += need;
    const watched_job& job = m_jobs.at(order.run.task.job);
    active_run& active = worker.running[order.run];
    active.footprint = need;
    if (!order.spec->steps[order.run.task.step].long_running) {
        const auto end_reason = job.hopeless.contains(order.run.task.index)
                                    ? job::run_end_reason::failed
                                    : job::run_end_reason::done;
        active.finish =
            m_loop.call_after(job.run_time, [this, &worker, run = order.run, end_reason] {
                end_run(worker, run, end_reason);
            });
    }
    return job::order_answer::accepted;
}

void model_workers::end_run(life& worker, const job::run_name& name, job::run_end_reason end_reason)
{
    const job::run_name run = name; // The caller's may be the key that is erased here.
    const auto found = worker.running.find(run);
    if (found == worker.running.end()) {
        return;
    }
    remember(run, "ends as " + std::string(name_of(end_reason)) + " on " + worker.listing.id.str());
    m_loop.cancel(found->second.finish);
    worker.used -= found->second.footprint;
    worker.running.erase(found);
    auto& highest = worker.highest_ended[run.task];
    highest = std::max(highest, run.attempt);
    --m_tasks[run.task].running;
    if (end_reason == job::run_end_reason::done) {
        m_tasks[run.task].done = true;
        m_tasks[run.task].ever_done = true;
    }
    worker.ended.push_back({.sequence = ++worker.sequence, .run = run, .end_reason = end_reason});
    for (auto& waiting : std::exchange(worker.waiting, {})) {
        m_loop.post(std::move(waiting));
    }
}

job::order_answer model_workers::stop(const job::stop_order& order, fencing_token token)
{
    const auto found = m_lives.find(order.worker);
    if (found == m_lives.end()) {
        return job::order_answer::other_instance;
    }
    life& worker = found->second;
    if (token < worker.token) {
        return job::order_answer::stale_token;
    }
    worker.token = token;
    auto& highest = worker.highest_ended[order.run.task];
    highest = std::max(highest, order.run.attempt);
    m_loop.call_after(stop_time, [this, id = order.worker, run = order.run] {
        const auto at = m_lives.find(id);
        if (at != m_lives.end()) {
            end_run(at->second, run, job::run_end_reason::stopped);
        }
    });
    return job::order_answer::accepted;
}

void model_workers::note(const life& /*worker*/, const job::ended_run& end)
{
    task_history& task = m_tasks[end.run.task];
    remember(end.run, "is noted as " + std::string(name_of(end.end_reason)));
    if (end.end_reason == job::run_end_reason::failed) {
        task.noted_failures.insert(end.run.attempt);
    }
    task.done_noted = task.done_noted || end.end_reason == job::run_end_reason::done;
}

poll_result model_workers::poll(const instance_id& id, const job::poll_order& order,
                                fencing_token token)
{
    const auto found = m_lives.find(id);
    if (found == m_lives.end()) {
        return {.answer = job::order_answer::other_instance, .report = {}};
    }
    life& worker = found->second;
    if (token < worker.token) {
        return {.answer = job::order_answer::stale_token, .report = {}};
    }
    worker.token = token;
    for (const job::ended_run& each : worker.ended) {
        if (each.sequence <= order.acknowledged) {
            note(worker, each);
        }
    }
    std::erase_if(worker.ended,
                  [&](const job::ended_run& each) { return each.sequence <= order.acknowledged; });
    if (order.deadline) {
        extend(worker, *order.deadline);
    }
    poll_result result{.answer = job::order_answer::accepted, .report = {}};
    result.report.worker_clock = clock_of(worker);
    result.report.ended = worker.ended;
    for (const auto& [run, active] : worker.running) {
        result.report.running.push_back({.run = run, .percent = 100});
    }
    return result;
}

void model_workers::wait_for_end(const instance_id& id, nanoseconds wait,
                                 std::function<void()> done)
{
    const auto found = m_lives.find(id);
    if (found == m_lives.end() || !found->second.ended.empty() || wait <= nanoseconds(0)) {
        m_loop.post(std::move(done));
        return;
    }
    auto once = std::make_shared<std::function<void()>>(std::move(done));
    const auto run = [once] {
        if (*once) {
            std::exchange(*once, nullptr)();
        }
    };
    found->second.waiting.emplace_back(run);
    m_loop.call_after(wait, run);
}

void entry_workers::answer(nanoseconds delay, order_callback done, job::order_answer given)
{
    m_workers.loop().call_after(delay, [this, done = std::move(done), given] {
        m_entry_loop.call_after(nanoseconds(0), [done, given] { done(given); });
    });
}

void entry_workers::deliver(const instance_id& worker,
                            std::function<job::order_answer(model_workers::arrival)> carry_out,
                            order_callback done)
{
    const auto trouble = m_workers.trouble(m_entry, worker);
    if (trouble != path_trouble::none) {
        if (trouble != path_trouble::silent) {
            const auto late = milliseconds(std::uniform_int_distribution<std::int64_t>(
                least_late.count(), most_late.count())(m_workers.random()));
            const bool is_late = trouble == path_trouble::carried_late;
            const nanoseconds delay = is_late ? late : one_way;
            m_workers.loop().call_after(delay, [carry_out, is_late] {
                (void)carry_out(is_late ? model_workers::arrival::late
                                        : model_workers::arrival::prompt);
            });
        }
        answer(order_timeout, std::move(done), job::order_answer::unanswered);
        return;
    }
    m_workers.loop().call_after(
        one_way, [this, carry_out = std::move(carry_out), done = std::move(done)] {
            answer(one_way, done, carry_out(model_workers::arrival::prompt));
        });
}

void entry_workers::start(const worker_address& to, const job::start_order& order,
                          fencing_token token, order_callback done)
{
    deliver(
        to.id, [this, order, token](auto when) { return m_workers.start(order, token, when); },
        std::move(done));
}

void entry_workers::stop(const worker_address& to, const job::stop_order& order,
                         fencing_token token, order_callback done)
{
    deliver(
        to.id, [this, order, token](auto) { return m_workers.stop(order, token); },
        std::move(done));
}

void entry_workers::throttle(const worker_address& to, const job::throttle_order& /*order*/,
                             fencing_token /*token*/, order_callback done)
{
    deliver(
        to.id, [](auto) { return job::order_answer::accepted; }, std::move(done));
}

void entry_workers::poll(const worker_address& to, const job::poll_order& order,
                         fencing_token token, poll_callback done)
{
    const auto give = [this](nanoseconds delay, const poll_callback& to_call,
                             const poll_result& result) {
        m_workers.loop().call_after(delay, [this, to_call, result] {
            m_entry_loop.call_after(nanoseconds(0), [to_call, result] { to_call(result); });
        });
    };
    const auto trouble = m_workers.trouble(m_entry, to.id);
    if (trouble != path_trouble::none) {
        if (trouble == path_trouble::lost_answer) {
            m_workers.loop().call_after(
                one_way, [this, to, order, token] { (void)m_workers.poll(to.id, order, token); });
        }
        give(order.wait + order_timeout, done, {});
        return;
    }
    m_workers.loop().call_after(one_way, [this, to, order, token, done, give] {
        // What the look says holds from its arrival; the wait is only for the report.
        const poll_result arrived = m_workers.poll(to.id, order, token);
        if (arrived.answer != job::order_answer::accepted) {
            give(one_way, done, arrived);
            return;
        }
        m_workers.wait_for_end(to.id, order.wait, [this, to, order, token, done, give] {
            const job::poll_order again{.acknowledged = order.acknowledged};
            give(one_way, done, m_workers.poll(to.id, again, token));
        });
    });
}

} // namespace plantaindoor::fleet::testing
