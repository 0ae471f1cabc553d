// Every order of a small system's steps, over the real confirmation set and barrier: the entries,
// the table and the list are a model here, the holder's decisions are the product's classes.
#include "plantaindoor/process/drain_barrier.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

constexpr std::size_t process_count = 3;
/// Processes 0 and 1 are two incarnations on one machine; 2 has a machine of its own.
constexpr std::array<const char*, process_count> entry_of{"b", "b", "c"};
constexpr std::size_t machine_count = 2;
constexpr std::array<std::size_t, process_count> machine_of{0, 0, 1};
/// The sanitizers' build is slow and looks at the first states only; the release build at all.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t max_states = 200000;
#else
constexpr std::size_t max_states = std::numeric_limits<std::size_t>::max();
#endif
constexpr int last_tick = 3;
constexpr milliseconds tick{1000};
const instance_id target("w1");

/// What a test breaks on purpose, in the inputs that the real classes get or in how entries serve.
struct mutation {
    bool ignores_list = false;
    bool list_read_first = false;
    bool serves_without_resync = false;
    bool no_wait_for_dead = false;
    bool rows_look_renewed = false;
    bool old_confirmations_count = false;
};

/// What the later processes do; all at once are too many orders to enumerate.
struct scenario {
    /// Process 1 may take over from a dead process 0, while process 2 serves from the beginning.
    bool restart = false;
    /// Process 2 may start.
    bool join = false;
};

struct model_process {
    bool started = false;
    bool alive = false;
    bool registered = false;
    bool has_state = false;
    bool knows = false;
    /// Alive for longer than the list's lag bound.
    bool aged = false;
    /// Listed for longer than the holder's longest gap between readings.
    bool old = false;
    bool fresh = false;
    bool busy = false;
    /// Its request still runs at the target although the process is dead.
    bool orphan = false;
    bool row_knows = false;
    bool row_busy = false;
    bool row_written = false;
};

struct model_state {
    std::array<model_process, process_count> processes;
    std::array<bool, machine_count> listed{};
    int now = 0;
    bool stopped = false;
    std::optional<membership_reading> pending;
    confirmation_set entries;
    drain_barrier barrier;
};

bool serving(const model_process& p, const mutation& broken)
{
    const bool resynced = p.old && (p.fresh || broken.serves_without_resync);
    return p.alive && p.has_state && (p.registered || resynced);
}

time_point at(int ticks)
{
    return time_point(tick * ticks);
}

std::vector<listed_instance> list_of(const model_state& s, const mutation& broken)
{
    std::vector<listed_instance> list;
    for (std::size_t m = 0; m < machine_count; ++m) {
        const bool has_row =
            std::any_of(s.processes.begin(), s.processes.end(), [&](const model_process& p) {
                const auto i = static_cast<std::size_t>(&p - s.processes.data());
                return machine_of[i] == m && p.registered;
            });
        if (broken.ignores_list ? has_row : s.listed[m]) {
            list.push_back({.id = entry_of[m == 0 ? 0 : 2], .role = listed_role::entry});
        }
    }
    return list;
}

/// Scans the rows; a row has a new version if it was written since the last scan.
membership_reading scan(model_state& s, const mutation& broken)
{
    membership_reading reading;
    for (std::size_t i = 0; i < process_count; ++i) {
        model_process& p = s.processes[i];
        if (!p.registered) {
            continue;
        }
        row_version version = 1;
        for (const confirmation_member& each : s.entries.members()) {
            if (each.incarnation == i) {
                const bool changed = p.row_written || broken.rows_look_renewed;
                version = each.version + (changed ? 1 : 0);
            }
        }
        p.row_written = false;
        reading.rows.push_back({.value = {.entry = entry_id(entry_of[i]),
                                          .incarnation = i,
                                          .applied = p.row_knows ? 1U : 0U},
                                .version = version});
        if (p.row_busy) {
            reading.rows.back().value.busy.push_back(target);
        }
    }
    return reading;
}

void append_time(std::string& key, const std::optional<time_point>& since, time_point now)
{
    const int ticks = since ? static_cast<int>((now - *since) / tick) : 9;
    key += static_cast<char>('0' + std::min(ticks, 3) + (since ? 0 : 5));
}

/// Everything that decides what can follow; ages instead of times, and writes counted up to two.
std::string key_of(const model_state& s)
{
    std::string key(1, s.stopped ? 'S' : '.');
    for (const model_process& p : s.processes) {
        unsigned bits = 0;
        for (const bool bit : {p.started, p.alive, p.registered, p.has_state, p.knows, p.old,
                               p.fresh, p.busy, p.orphan, p.row_knows, p.row_busy, p.row_written}) {
            bits = bits << 1U | (bit ? 1U : 0U);
        }
        key += static_cast<char>(bits & 63U);
        key += static_cast<char>(bits >> 6U);
    }
    for (const bool listed : s.listed) {
        key += listed ? 'L' : '-';
    }
    key += static_cast<char>('0' + s.now);
    for (const confirmation_member& m : s.entries.members()) {
        key += m.entry.str();
        key += static_cast<char>('0' + m.incarnation.value_or(9));
        key += static_cast<char>('0' + m.row.applied + (m.row.busy.empty() ? 0 : 2) +
                                 (m.present ? 4 : 0));
        append_time(key, m.first_seen, at(s.now));
        append_time(key, m.unlisted_since, at(s.now));
        append_time(key, m.replaced_since, at(s.now));
        key +=
            static_cast<char>('0' + std::min<std::uint64_t>(s.barrier.renewals(m).value_or(7), 8));
        for (const auto& [rival, writes] : m.rival_writes) {
            key += static_cast<char>('A' + rival * 4 + std::min(writes, 2U));
        }
    }
    if (s.pending) {
        key += '|';
        for (const version::registration_row& each : s.pending->rows) {
            key += static_cast<char>('0' + each.value.incarnation);
            key += static_cast<char>('0' + each.value.applied + (each.value.busy.empty() ? 0 : 2));
            const auto known = std::find_if(
                s.entries.members().begin(), s.entries.members().end(),
                [&](const auto& m) { return m.incarnation == each.value.incarnation; });
            const bool changed =
                known == s.entries.members().end() || known->version != each.version;
            key += changed ? '+' : '=';
        }
        for (const listed_instance& each : s.pending->listed) {
            key += each.id;
        }
    }
    return key;
}

class enumeration {
public:
    enumeration(scenario what, mutation broken) : m_scenario(what), m_broken(broken) {}

    /// Explores breadth first; true if no stop cuts a request off.
    bool holds(std::size_t most = std::numeric_limits<std::size_t>::max())
    {
        enter(initial());
        while (!m_queue.empty() && !m_cut_off && m_seen.size() < most) {
            const model_state s = std::move(m_queue.front());
            m_queue.pop_front();
            step_entries(s);
            step_platform(s);
            if (!s.stopped) {
                step_holder(s);
            }
        }
        return !m_cut_off;
    }

    [[nodiscard]] std::size_t states() const { return m_seen.size(); }
    [[nodiscard]] std::size_t stops() const { return m_stops; }

private:
    model_state initial() const
    {
        const milliseconds longest = m_broken.no_wait_for_dead ? milliseconds(0) : tick;
        model_state s{
            .entries = confirmation_set({.list_lag_bound = tick, .longest_gap = tick * last_tick}),
            .barrier = drain_barrier(
                {.drain = {.id = target,
                           .state_version = m_broken.old_confirmations_count ? 0U : 1U},
                 .longest_request = longest})};
        for (const std::size_t i : {0U, 2U}) {
            if (i == 2 && !m_scenario.restart) {
                continue;
            }
            s.processes[i] = {.started = true,
                              .alive = true,
                              .registered = true,
                              .has_state = true,
                              .aged = true,
                              .old = true,
                              .fresh = true};
            s.listed[machine_of[i]] = true;
        }
        observe(s, scan(s, m_broken));
        s.now = 1;
        return s;
    }

    void enter(model_state s)
    {
        m_cut_off = m_cut_off || (s.stopped && uses_target(s));
        if (m_seen.insert(key_of(s)).second) {
            m_queue.push_back(std::move(s));
        }
    }

    template<class Change>
    void enter_changed(const model_state& s, std::size_t i, Change change)
    {
        model_state next = s;
        change(next.processes[i]);
        enter(std::move(next));
    }

    void step_entries(const model_state& s)
    {
        for (std::size_t i = 0; i < process_count; ++i) {
            const model_process& p = s.processes[i];
            if (!p.alive) {
                start(s, i);
                continue;
            }
            const bool steady = i == (m_scenario.restart ? 2U : 0U);
            if (!steady) {
                enter_changed(s, i, [](model_process& q) {
                    q.orphan = q.busy;
                    q.alive = q.busy = q.has_state = q.knows = q.aged = q.old = q.fresh = false;
                });
                step_requests(s, i);
            }
            step_snapshot(s, i);
            step_row(s, i);
        }
    }

    void start(const model_state& s, std::size_t i)
    {
        const bool may_restart = i == 1 && m_scenario.restart && !s.processes[0].alive;
        const bool may_join = i == 2 && m_scenario.join;
        if (!s.processes[i].started && (may_restart || may_join)) {
            enter_changed(s, i, [](model_process& q) { q.started = q.alive = true; });
        }
    }

    void step_row(const model_state& s, std::size_t i)
    {
        enter_changed(s, i, [](model_process& q) {
            if (!q.registered) {
                q.registered = q.has_state = q.knows = true;
            }
            q.row_knows = q.knows;
            q.row_busy = q.busy;
            q.row_written = true;
        });
    }

    void step_snapshot(const model_state& s, std::size_t i)
    {
        const model_process& p = s.processes[i];
        if (p.registered && !p.knows) {
            enter_changed(s, i, [](model_process& q) { q.knows = true; });
        }
        for (std::size_t j = 0; j < process_count; ++j) {
            const model_process& peer = s.processes[j];
            if (j == i || !serving(peer, m_broken)) {
                continue;
            }
            if (!p.registered && (!p.has_state || (p.old && !p.fresh))) {
                enter_changed(s, i, [&](model_process& q) {
                    q.has_state = true;
                    q.knows = q.knows || peer.knows;
                    q.fresh = q.old;
                });
            }
        }
    }

    void step_requests(const model_state& s, std::size_t i)
    {
        const model_process& p = s.processes[i];
        if (serving(p, m_broken) && !p.knows && !p.busy) {
            enter_changed(s, i, [](model_process& q) { q.busy = true; });
        }
        if (p.busy) {
            enter_changed(s, i, [](model_process& q) { q.busy = false; });
        }
    }

    void step_platform(const model_state& s)
    {
        for (std::size_t m = 0; m < machine_count; ++m) {
            bool used = false;
            for (std::size_t i = 0; i < process_count; ++i) {
                used = used || (machine_of[i] == m && s.processes[i].alive);
            }
            if (s.listed[m] != used) {
                model_state next = s;
                next.listed[m] = used;
                enter(std::move(next));
            }
        }
        if (s.now < last_tick + (s.stopped ? 1 : 0)) {
            enter(after_tick(s));
        }
    }

    /// One tick is the longest request and the list's lag bound.
    static model_state after_tick(const model_state& s)
    {
        model_state next = s;
        ++next.now;
        for (std::size_t i = 0; i < process_count; ++i) {
            model_process& p = next.processes[i];
            p.orphan = false;
            p.busy = false;
            if (p.alive) {
                p.old = p.old || (s.stopped && p.aged);
                p.aged = true;
                next.listed[machine_of[i]] = true;
            }
        }
        return next;
    }

    void step_holder(const model_state& s)
    {
        model_state next = s;
        if (!next.pending) {
            next.pending = membership_reading{};
            if (m_broken.list_read_first) {
                next.pending->listed = list_of(next, m_broken);
            }
            else {
                next.pending->rows = scan(next, m_broken).rows;
            }
        }
        else {
            observe(next, std::move(*next.pending));
            next.pending.reset();
        }
        if (next.barrier.passed() && !next.pending) {
            ++m_stops;
            next.stopped = true;
            next.entries = confirmation_set({});
        }
        enter(std::move(next));
    }

    static bool uses_target(const model_state& s)
    {
        return std::any_of(s.processes.begin(), s.processes.end(),
                           [](const model_process& p) { return p.busy || p.orphan; });
    }

    void observe(model_state& s, membership_reading reading) const
    {
        if (m_broken.list_read_first) {
            reading.rows = scan(s, m_broken).rows;
        }
        else {
            reading.listed = list_of(s, m_broken);
        }
        for (std::size_t i = 0; i < process_count; ++i) {
            model_process& p = s.processes[i];
            p.old = p.old || (p.aged && s.listed[machine_of[i]]);
        }
        s.entries.observe(reading, at(s.now));
        s.barrier.observe(s.entries, at(s.now));
    }

    scenario m_scenario;
    mutation m_broken;
    std::deque<model_state> m_queue;
    std::unordered_set<std::string> m_seen;
    std::size_t m_stops = 0;
    bool m_cut_off = false;
};

constexpr scenario restart{.restart = true};
constexpr scenario join{.join = true};

void check_all_orders(scenario what)
{
    enumeration all(what, mutation{});
    CHECK(all.holds(max_states));
    CHECK(all.stops() > 0);
    WARN("states: " << all.states() << ", stops: " << all.stops());
}

bool holds(scenario what, const mutation& broken)
{
    return enumeration(what, broken).holds();
}

} // namespace

TEST_CASE("no order with a restarted entry stops a busy instance", "[drain-barrier]")
{
    check_all_orders(restart);
}

TEST_CASE("no order with a joining entry stops a busy instance", "[drain-barrier]")
{
    check_all_orders(join);
}

TEST_CASE("each rule of the barrier is needed", "[drain-barrier]")
{
    CHECK_FALSE(holds(join, {.ignores_list = true}));
    CHECK_FALSE(holds(join, {.list_read_first = true}));
    CHECK_FALSE(holds(join, {.serves_without_resync = true}));
    CHECK_FALSE(holds(restart, {.no_wait_for_dead = true}));
    CHECK_FALSE(holds(restart, {.rows_look_renewed = true}));
    CHECK_FALSE(holds(join, {.old_confirmations_count = true}));
}
