#include "duty_world.hpp"

#include <algorithm>

namespace plantaindoor::process::testing {

using version::change;
using version::fleet;
using version::instance;
using version::instance_state;

namespace {

constexpr std::size_t entry_count = 3;
constexpr milliseconds reboot_time{3000};
constexpr milliseconds list_lag{2000};
/// How old the list is that the platform gives, and in which steps it changes.
constexpr milliseconds list_age{1500};
constexpr milliseconds list_step{100};

std::string numbered(const char* prefix, std::size_t number)
{
    std::string name(prefix);
    name += std::to_string(number);
    return name;
}

std::vector<change> first_fleet()
{
    std::vector<change> changes{version::put_team{{.id = team_id("t")}}};
    version::wave wave{.id = wave_id("m")};
    for (std::size_t p = 0; p < 2; ++p) {
        const pool_id pool(numbered("p", p));
        wave.pools.push_back(pool);
        changes.emplace_back(version::put_pool{{.id = pool, .lends = true}});
        changes.emplace_back(version::put_service{{.id = service_id(numbered("s", p)),
                                                   .team = team_id("t"),
                                                   .pools = {pool},
                                                   .budget = {.minimum = 2},
                                                   .longest_request = longest_request}});
        for (std::size_t i = 0; i < 3; ++i) {
            changes.emplace_back(
                version::put_instance{{.id = instance_id(numbered("w", p * 3 + i)),
                                       .pool = pool,
                                       .zone = availability_zone_id(std::string(1, "ab"[i % 2]))}});
        }
    }
    changes.emplace_back(version::put_wave{wave});
    return changes;
}

std::uint64_t incarnation_of(const entry_id& id)
{
    return id.str().back() - '0' + 100U;
}

} // namespace

world_entry::world_entry(world& all, std::string name, std::uint64_t seed)
    : id(std::move(name)), loop(all.loop), m_world(all), m_table(loop, all.rows, {}, seed)
{
    version::table_change_log_options options{.author_id = id.str(), .seed = seed};
    options.poll_period = milliseconds(300);
    log = std::make_unique<version::table_change_log>(loop, *this, options);
    log->start();
    reader = std::make_unique<membership_reader>(
        loop, *this, *this, membership_reader_options{.pace = {.least = milliseconds(400)}});
    duties = std::make_unique<duty_runner>(duty_runner_options{
        .loop = loop,
        .rows = *this,
        .log = *log,
        .reader = *reader,
        .control = *this,
        .journal = *this,
        .self = id,
        .incarnation = incarnation_of(id),
        .interval = milliseconds(400),
        .times = {.reboot_retry = milliseconds(1000),
                  .boots_interval = milliseconds(500),
                  .reboot_settle = milliseconds(1000),
                  .return_timeout = milliseconds(40000),
                  .lost_after = milliseconds(60000)},
        .entries = {.list_lag_bound = list_lag, .longest_gap = milliseconds(5000)}});
    duties->start();
    renew_registration();
    send_request();
}

void world_entry::faulty_step(const std::function<void(bool)>& effect,
                              const std::function<void()>& lost)
{
    ++m_world.steps;
    const auto due = m_world.options.faults.find(m_world.steps);
    switch (due == m_world.options.faults.end() ? step_fault::none : due->second) {
    case step_fault::none:
        effect(false);
        return;
    case step_fault::killed_before:
        loop.terminate();
        return;
    case step_fault::killed_after:
        effect(false);
        // The call is on its way when the process dies.
        m_world.loop.call_after(milliseconds(6), [this] { loop.terminate(); });
        return;
    case step_fault::paused_before:
        loop.suspend_for(pause_length);
        effect(false);
        return;
    case step_fault::paused_after:
        effect(false);
        m_world.loop.call_after(milliseconds(6), [this] { loop.suspend_for(pause_length); });
        return;
    case step_fault::lost_call:
        loop.call_after(milliseconds(500), lost);
        return;
    case step_fault::lost_reply:
        effect(true);
        return;
    case step_fault::table_down:
        m_world.table_down = true;
        m_world.loop.call_after(pause_length, [this] { m_world.table_down = false; });
        effect(false);
        return;
    }
}

void world_entry::transact(table_transaction transaction, transact_callback done)
{
    if (m_world.table_down) {
        loop.post([done] { done({.outcome = transact_outcome::unavailable}); });
        return;
    }
    const auto lost = [done] { done({.outcome = transact_outcome::unknown}); };
    faulty_step(
        [this, transaction, done, lost](bool lose_reply) {
            m_table.transact(transaction, [done, lost, lose_reply](const transact_result& result) {
                lose_reply ? lost() : done(result);
            });
        },
        lost);
}

void world_entry::list(list_callback done)
{
    loop.call_after(milliseconds(2), [this, done] { done(m_world.listed()); });
}

void world_entry::reboot(const instance_id& subject, const operation_guard& guard,
                         operation_callback done)
{
    const auto lost = [done] { done(operation_outcome::unknown); };
    faulty_step(
        [this, subject, guard, done](bool lose_reply) {
            // The call goes on even if its sender is frozen or killed meanwhile.
            m_world.loop.call_after(milliseconds(3), [this, subject, guard, done, lose_reply] {
                m_world.start_reboot(subject, guard);
                loop.post([done, lose_reply] {
                    done(lose_reply ? operation_outcome::unknown : operation_outcome::accepted);
                });
            });
        },
        lost);
}

void world_entry::boot_count(const instance_id& subject,
                             std::function<void(std::optional<std::uint64_t>)> done)
{
    loop.call_after(milliseconds(2), [this, subject, done] { done(m_world.boots[subject]); });
}

void world_entry::record(journal_entry entry)
{
    m_world.journal.push_back(std::move(entry));
}

void world_entry::renew_registration()
{
    loop.call_after(milliseconds(300), [this] { renew_registration(); });
    if (m_renewing || m_world.table_down || log->current()->version == 0) {
        return;
    }
    version::registration row{
        .entry = id, .incarnation = incarnation_of(id), .applied = log->current()->version};
    for (const auto& [target, count] : in_progress) {
        if (count > 0) {
            row.busy.push_back(target);
        }
    }
    m_renewing = true;
    m_table.transact({.writes = {{.key = registration_key(row), .value = encode(row)}}},
                     [this](const transact_result&) { m_renewing = false; });
}

/// Sends one request at a time to the next admitted instance of its own snapshot.
void world_entry::send_request()
{
    loop.call_after(milliseconds(130), [this] { send_request(); });
    const version::fleet_ptr whole = log->current();
    std::vector<instance_id> targets;
    for (const auto& [target, each] : whole->instances) {
        if (each.state == instance_state::admitted) {
            targets.push_back(target);
        }
    }
    if (targets.empty()) {
        return;
    }
    const instance_id target = targets[m_next_target++ % targets.size()];
    if (m_world.down.contains(target)) {
        m_world.violated(id.str() + " sent to " + target.str() + ", which is down");
    }
    ++in_progress[target];
    // A target goes on with a request whose sender is frozen or dead.
    const milliseconds time(200 + (m_next_target * 97) % 700);
    m_world.loop.call_after(time, [this, target] { --in_progress[target]; });
}

world::world(world_options how) : options(std::move(how))
{
    if (options.operator_interval > milliseconds(0)) {
        operate();
    }
    version::delta step{.version = 1, .author = "operator:test", .changes = first_fleet()};
    rows.transact({.writes = {{.key = std::string(version::log_head_key),
                               .value = encode(version::log_head{.version = 1})},
                              {.key = version::log_record_key(1),
                               .value = encode(version::log_record{"first", step})}}});
    note_list();
    for (std::size_t i = 0; i < entry_count; ++i) {
        entries.push_back(
            std::make_unique<world_entry>(*this, numbered("e", i), options.seed * 10 + i));
    }
}

void world::operate()
{
    loop.call_after(options.operator_interval, [this] { operate(); });
    const std::size_t number = m_operations++ + options.seed;
    const instance_id id(numbered("w", number * 5 % 6));
    const auto subject = newest.instances.find(id);
    if (subject == newest.instances.end()) {
        return;
    }
    propose([id, number](const fleet& whole) {
        const instance& each = whole.instances.at(id);
        if (each.state == instance_state::draining || each.state == instance_state::stopped) {
            return plan_undrain(whole, id);
        }
        if (each.lent) {
            return plan_return(whole, {.id = id});
        }
        if (number % 3 == 0) {
            return plan_drain(whole, id, {});
        }
        const pool_id to(each.pool == pool_id("p0") ? "p1" : "p0");
        return plan_lend(whole, {.id = id, .to = to});
    });
}

bool world::run_wave(nanoseconds longest)
{
    const time_point end = loop.now() + longest;
    while (loop.now() < end) {
        loop.run_for(milliseconds(100));
        check_versions();
        check_holders();
        const auto wave = newest.waves.find(wave_id("m"));
        if (wave != newest.waves.end() && wave->second.state == version::wave_state::finished) {
            return true;
        }
    }
    return false;
}

void world::propose(std::function<std::vector<change>(const fleet&)> changes)
{
    any_live().log->append({.author = "operator:test", .propose = std::move(changes)},
                           [](const version::append_result&) {});
}

world_entry& world::any_live()
{
    for (const auto& each : entries) {
        if (!each->loop.terminated() && !each->loop.suspended()) {
            return *each;
        }
    }
    return *entries.front();
}

void world::start_reboot(const instance_id& id, const operation_guard& guard)
{
    if (!operations.insert(guard.id.str()).second) {
        return;
    }
    for (const auto& each : entries) {
        if (each->in_progress[id] > 0) {
            violated(id.str() + " was rebooted under a request of " + each->id.str());
        }
    }
    down.insert(id);
    loop.call_after(reboot_time, [this, id] {
        down.erase(id);
        ++boots[id];
    });
}

std::vector<listed_instance> world::listed() const
{
    return m_lists.empty() ? std::vector<listed_instance>{} : m_lists.front();
}

void world::note_list()
{
    loop.call_after(list_step, [this] { note_list(); });
    m_lists.push_back(listed_now());
    if (list_step * m_lists.size() > list_age) {
        m_lists.pop_front();
    }
}

std::vector<listed_instance> world::listed_now() const
{
    std::vector<listed_instance> list;
    for (const auto& [id, each] : newest.instances) {
        if (!down.contains(id)) {
            list.push_back({.id = id.str()});
        }
    }
    for (const auto& each : entries) {
        if (!each->loop.terminated()) {
            list.push_back({.id = each->id.str(), .role = listed_role::entry});
        }
    }
    return list;
}

void world::check_holders()
{
    std::set<pool_id> held;
    for (const auto& each : entries) {
        for (const pool_id& pool :
             each->loop.terminated() ? std::vector<pool_id>{} : each->duties->held()) {
            if (!held.insert(pool).second) {
                violated("two entries hold the duty of " + pool.str());
            }
        }
    }
}

void world::check_versions()
{
    for (;;) {
        const auto found = rows.read({version::log_record_key(newest.version + 1)});
        if (found.empty()) {
            return;
        }
        const auto before = version::ledger(newest).figures();
        version::apply(newest, version::decode_log_record(found.front().value).step);
        for (const version::service_figures& each : version::ledger(newest).figures()) {
            const bool was_well =
                std::any_of(before.begin(), before.end(), [&](const version::service_figures& old) {
                    return old.service == each.service && old.spare() >= 0;
                });
            if (was_well && each.spare() < 0) {
                violated(each.service.str() + " fell below its budget");
            }
        }
    }
}

} // namespace plantaindoor::process::testing
