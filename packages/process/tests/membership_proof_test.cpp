// Explores every order of a drain, its stop, and the lives of four processes on three machines,
// over the real membership, registration rows and confirmation check.
#include "plantaindoor/common/hash.hpp"
#include "plantaindoor/process/membership.hpp"
#include "plantaindoor/version/registration_set.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <string>
#include <type_traits>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::process;
using version::version_number;

namespace {

/// A rule of the protocol outside of membership that a run may drop.
struct dropped_rules {
    bool head_condition = false; ///< registering need not know the newest version
    bool list = false;           ///< the barrier doesn't ask for listed entries without a row
    bool list_after = false;     ///< the barrier keeps a reading of the list from before
    bool renewal = false;        ///< the barrier takes a row that was not renewed lately
    membership_rules membership;
};

/// Which processes may start, beside the two that run from the beginning.
struct starting {
    bool restart = false;     ///< a second process on the second machine
    bool new_machine = false; ///< one on the third
    /// The second machine's first process has confirmed the drain and died; writes and answers
    /// arrive at once.
    bool predecessor_dead = false;
};

constexpr version_number drained_at = 1;
constexpr std::size_t processes = 4;
constexpr std::size_t machines = 3;
/// Two processes, one after the other, on the second machine.
constexpr std::array<std::size_t, processes> machine_of{0, 1, 1, 2};
constexpr milliseconds lag{30000};
const instance_id worker("w");

entry_id entry_on(std::size_t machine)
{
    return entry_id(std::string(1, static_cast<char>('a' + machine)));
}

enum class life : char { unborn, alive, dead };

/// A registration row as far as it matters here; also a write under way.
struct row_state {
    char present = 0;
    char applied = 0;
    char busy = 0;
    char first = 0;
};

struct answer_state {
    char present = 0;
    char serving = 0;
    char version = 0;
    char asked_old = 0;
};

struct process_state {
    life alive = life::unborn;
    char known = 0;
    char in_progress = 0;
    char old = 0;
    row_state row;
    row_state write;
    answer_state answer;
    int member = 0;
};

struct world {
    char head = 0;
    char rows_confirmed = 0;
    char list_read = 0;
    char stopped = 0;
    std::array<char, machines> listed{};
    std::array<char, machines> list_seen{};
    std::array<char, machines> renewed{};
    /// Fills the gap before `all`, so that equal states have equal bytes.
    std::array<char, 3> unused{};
    std::array<process_state, processes> all{};
};
static_assert(std::has_unique_object_representations_v<world>);

std::uint64_t fingerprint(const world& state)
{
    return hash64({reinterpret_cast<const char*>(&state), sizeof state});
}

/// Distinct states of the real class, numbered.
class member_pool {
public:
    int number(const membership& member)
    {
        const auto [found, added] = m_numbers.try_emplace(member, static_cast<int>(m_all.size()));
        if (added) {
            m_all.push_back(&found->first);
        }
        return found->second;
    }
    [[nodiscard]] const membership& at(int number) const
    {
        return *m_all[static_cast<std::size_t>(number)];
    }

private:
    std::map<membership, int> m_numbers;
    std::vector<const membership*> m_all;
};

class explorer {
public:
    explorer(starting may_start, dropped_rules dropped) : m_may_start(may_start), m_dropped(dropped)
    {
    }

    /// The steps that lead to a stop under a request in progress; empty when there are none.
    std::vector<std::string> broken_run()
    {
        visit(first_world(), "");
        for (m_present = 0; !m_queue.empty(); ++m_present) {
            const world state = m_queue.front();
            m_queue.pop_front();
            if (broken(state)) {
                return run_to_present();
            }
            step(state);
        }
        return {};
    }

private:
    world first_world()
    {
        world state;
        state.listed = {1, 1, 0};
        for (const std::size_t each : {0U, 1U}) {
            state.all[each].alive = life::alive;
            state.all[each].old = 1;
            state.all[each].row = {.present = 1};
            membership member = born(each);
            member.on_head_applied(time_point{});
            [[maybe_unused]] const auto write = member.begin_write(time_point{}, wall_time{}, {});
            member.on_written(registration_outcome::written);
            state.all[each].member = m_members.number(member);
        }
        if (m_may_start.predecessor_dead) {
            state.head = drained_at;
            state.all[1] = {.alive = life::dead, .row = {.present = 1, .applied = drained_at}};
        }
        return state;
    }

    membership born(std::size_t process) const
    {
        return {{.self = entry_on(machine_of[process]),
                 .incarnation = process,
                 .list_lag = lag,
                 .currency_bound = 10 * lag,
                 .shortest_write_gap = milliseconds(0),
                 .rules = m_dropped.membership},
                time_point{}};
    }

    static time_point now(const process_state& process)
    {
        return time_point{} + (process.old != 0 ? lag : milliseconds(0));
    }

    [[nodiscard]] bool serves(const process_state& process) const
    {
        return process.alive == life::alive &&
               m_members.at(process.member).may_serve(now(process)) == serving_state::serving;
    }

    static bool broken(const world& state)
    {
        return state.stopped != 0 && std::ranges::any_of(state.all, [](const auto& each) {
                   return each.alive == life::alive && each.in_progress != 0;
               });
    }

    void step(const world& state)
    {
        step_log(state);
        step_list(state);
        step_retirement(state);
        for (std::size_t each = 0; each < processes; ++each) {
            step_life(state, each);
            if (state.all[each].alive == life::alive) {
                step_requests(state, each);
                step_registration(state, each);
                step_peers(state, each);
            }
            step_write_lands(state, each);
        }
    }

    void step_log(const world& state)
    {
        if (state.head == 0) {
            change(state, "drain", [](world& next) { next.head = drained_at; });
            return;
        }
        if (state.stopped != 0) {
            return;
        }
        if (state.rows_confirmed == 0 && rows_confirm(state)) {
            change(state, "rows confirm", [this](world& next) {
                next.rows_confirmed = 1;
                next.renewed = renewed_in(next);
                next.list_read = m_dropped.list_after ? next.list_read : char{0};
            });
        }
        if (state.rows_confirmed != 0 && state.list_read != 0) {
            change(state, listed_renewed(state) ? "stop" : "ask again", [this](world& next) {
                next.stopped = static_cast<char>(listed_renewed(next));
                next.rows_confirmed = 0;
                next.renewed = {};
                next.list_read = 0;
                next.list_seen = {};
            });
        }
    }

    /// A dead process's row may still look renewed, but not once its successor is older than the
    /// list's lag: the window and the longest delay of a write are shorter together.
    [[nodiscard]] std::array<char, machines> renewed_in(const world& state) const
    {
        std::array<char, machines> renewed{};
        for (std::size_t each = 0; each < processes; ++each) {
            const process_state& process = state.all[each];
            const bool lately = process.alive == life::alive ||
                                (each == 1 && state.all[2].old == 0) || m_dropped.renewal;
            if (process.row.present != 0 && lately) {
                renewed[machine_of[each]] = 1;
            }
        }
        return renewed;
    }

    [[nodiscard]] bool listed_renewed(const world& state) const
    {
        return m_dropped.list || version::unconfirmed({}, entries(state.list_seen),
                                                      entries(state.renewed), worker, drained_at)
                                     .empty();
    }

    [[nodiscard]] bool rows_confirm(const world& state) const
    {
        std::vector<version::registration_row> rows;
        for (std::size_t each = 0; each < processes; ++each) {
            const row_state& row = state.all[each].row;
            if (row.present != 0) {
                rows.push_back({{.entry = entry_on(machine_of[each]),
                                 .incarnation = each,
                                 .applied = static_cast<version_number>(row.applied)}});
                if (row.busy != 0) {
                    rows.back().value.busy = {worker};
                }
            }
        }
        return version::unconfirmed(rows, {}, {}, worker, drained_at).empty();
    }

    static std::set<entry_id> entries(const std::array<char, machines>& present)
    {
        std::set<entry_id> found;
        for (std::size_t machine = 0; machine < machines; ++machine) {
            if (present[machine] != 0) {
                found.insert(entry_on(machine));
            }
        }
        return found;
    }

    void step_list(const world& state)
    {
        if (state.head != 0 && state.list_read == 0) {
            change(state, "list read", [](world& next) {
                next.list_read = 1;
                next.list_seen = next.listed;
            });
        }
        if (state.listed[2] == 0 && state.all[3].alive == life::alive) {
            change(state, "c listed", [](world& next) { next.listed[2] = 1; });
        }
    }

    void step_life(const world& state, std::size_t at)
    {
        const process_state& process = state.all[at];
        const bool after_first =
            (at == 3 && m_may_start.new_machine) ||
            (at == 2 && m_may_start.restart && state.all[1].alive == life::dead);
        if (process.alive == life::unborn && after_first) {
            change(state, name("start", at), [&](world& next) {
                next.all[at].alive = life::alive;
                next.all[at].member = m_members.number(born(at));
            });
        }
        if (process.alive == life::alive && at == 1) {
            change(state, name("die", at), [&](world& next) {
                process_state& dead = next.all[at];
                dead = {.alive = life::dead, .row = dead.row, .write = dead.write};
            });
        }
        if (process.alive == life::alive && process.old == 0 && state.listed[machine_of[at]] != 0) {
            change(state, name("age", at), [&](world& next) { next.all[at].old = 1; });
        }
    }

    /// Deletes the dead process's row once its successor on the machine has registered.
    void step_retirement(const world& state)
    {
        const process_state& dead = state.all[1];
        if (dead.alive == life::dead && dead.row.present != 0 && dead.write.present == 0 &&
            state.all[2].row.present != 0) {
            change(state, "row 1 retired", [](world& next) { next.all[1].row = {}; });
        }
    }

    void step_requests(const world& state, std::size_t at)
    {
        const process_state& process = state.all[at];
        if (process.in_progress != 0) {
            change(state, name("finish", at), [&](world& next) { next.all[at].in_progress = 0; });
        }
        else if (static_cast<version_number>(process.known) < drained_at && serves(process)) {
            change(state, name("send", at), [&](world& next) { next.all[at].in_progress = 1; });
        }
        if (process.known < state.head) {
            change(state, name("read log", at), [&](world& next) {
                learn(next.all[at], next.head);
                with_member(next.all[at],
                            [&](membership& member) { member.on_head_applied(time_point{}); });
            });
        }
    }

    void step_registration(const world& state, std::size_t at)
    {
        const process_state& process = state.all[at];
        if (process.write.present != 0 ||
            !m_members.at(process.member).write_due(time_point{} + lag)) {
            return;
        }
        const bool busy = process.known >= char{drained_at} && process.in_progress != 0;
        if (process.row.present != 0 && process.row.applied == process.known &&
            (process.row.busy != 0) == busy) {
            return;
        }
        change(state, name("write row", at), [&](world& next) {
            with_member(next.all[at], [&](membership& member) {
                const auto write =
                    member.begin_write(time_point{}, wall_time{},
                                       busy ? std::vector{worker} : std::vector<instance_id>{});
                next.all[at].write = {.present = 1,
                                      .applied = static_cast<char>(write.row.applied),
                                      .busy = static_cast<char>(busy),
                                      .first = static_cast<char>(write.first)};
            });
            if (m_may_start.predecessor_dead) {
                land(next, at);
            }
        });
    }

    /// A write lands at any later time, even after its process's death.
    void step_write_lands(const world& state, std::size_t at)
    {
        const row_state& write = state.all[at].write;
        if (write.present == 0) {
            return;
        }
        change(state, name("write lands", at), [&](world& next) { land(next, at); });
    }

    void land(world& next, std::size_t at)
    {
        process_state& process = next.all[at];
        const row_state write = process.write;
        const bool fits =
            write.first == 0 || write.applied == next.head || m_dropped.head_condition;
        if (fits) {
            process.row = write;
            process.row.first = 0;
        }
        process.write = {};
        if (process.alive == life::alive) {
            with_member(process, [&](membership& member) {
                member.on_written(fits ? registration_outcome::written
                                       : registration_outcome::failed);
            });
        }
    }

    void step_peers(const world& state, std::size_t at)
    {
        const process_state& process = state.all[at];
        for (std::size_t from = 0; from < processes; ++from) {
            const process_state& peer = state.all[from];
            if (from == at || peer.alive != life::alive) {
                continue;
            }
            if (peer.known > process.known) {
                change(state, name("push", at),
                       [&](world& next) { learn(next.all[at], peer.known); });
            }
            const bool waits = !m_members.at(process.member).registered() && !serves(process);
            if (process.answer.present == 0 && waits) {
                change(state, name("ask", at) + name(" of", from), [&](world& next) {
                    next.all[at].answer = {.present = 1,
                                           .serving = static_cast<char>(serves(peer)),
                                           .version = peer.known,
                                           .asked_old = process.old};
                    if (m_may_start.predecessor_dead) {
                        take_answer(next.all[at]);
                    }
                });
            }
        }
        if (process.answer.present != 0) {
            change(state, name("answer", at), [&](world& next) { take_answer(next.all[at]); });
        }
    }

    void take_answer(process_state& process)
    {
        const answer_state answer = process.answer;
        process.answer = {};
        learn(process, answer.version);
        with_member(process, [&](membership& member) {
            member.on_peer(
                {.entry = entry_id("peer"),
                 .serving = answer.serving != 0,
                 .version = static_cast<version_number>(answer.version),
                 .asked = time_point{} + (answer.asked_old != 0 ? lag : milliseconds(0))});
        });
    }

    void learn(process_state& process, char version)
    {
        if (version > process.known) {
            process.known = version;
            with_member(process, [&](membership& member) {
                member.on_applied(static_cast<version_number>(version), false);
            });
        }
    }

    template<class Change>
    void with_member(process_state& process, Change apply)
    {
        membership member = m_members.at(process.member);
        apply(member);
        process.member = m_members.number(member);
    }

    static std::string name(const char* what, std::size_t at)
    {
        return std::string(what) + " " + std::to_string(at);
    }

    template<class Change>
    void change(const world& state, const std::string& what, Change apply)
    {
        world next = state;
        apply(next);
        visit(next, what);
    }

    void visit(const world& state, const std::string& what)
    {
        if (m_seen.insert(fingerprint(state)).second) {
            m_queue.push_back(state);
            m_steps.push_back({m_present, what});
        }
    }

    std::vector<std::string> run_to_present()
    {
        std::vector<std::string> run;
        for (std::size_t at = m_present; at != 0; at = m_steps[at].from) {
            run.insert(run.begin(), m_steps[at].what);
        }
        return run;
    }

    /// The step that led to a state first, and the number of the state before.
    struct first_step {
        std::size_t from = 0;
        std::string what;
    };

    starting m_may_start;
    dropped_rules m_dropped;
    member_pool m_members;
    std::deque<world> m_queue;
    std::unordered_set<std::uint64_t> m_seen;
    std::vector<first_step> m_steps;
    std::size_t m_present = 0;
};

std::string joined(const std::vector<std::string>& steps)
{
    std::string all;
    for (const std::string& each : steps) {
        all += (all.empty() ? "" : " | ") + each;
    }
    return all;
}

} // namespace

TEST_CASE("no order of events stops an instance under a request in progress", "[membership]")
{
    const starting may_start =
        GENERATE(starting{.restart = true}, starting{.new_machine = true},
                 starting{.restart = true, .new_machine = true, .predecessor_dead = true});
    explorer all(may_start, {});
    const std::string run = joined(all.broken_run());
    INFO(run);
    CHECK(run.empty());
}

TEST_CASE("each rule is needed: without it a stop cuts off a request", "[membership]")
{
    const auto [what, may_start, dropped] =
        GENERATE(Catch::Generators::table<std::string, starting, dropped_rules>({
            {"condition on the log's head", {.new_machine = true}, {.head_condition = true}},
            {"listed entries", {.new_machine = true}, {.list = true}},
            {"list read after the confirmation", {.new_machine = true}, {.list_after = true}},
            {"rows renewed lately", {.restart = true}, {.renewal = true}},
            {"catching up after that",
             {.new_machine = true},
             {.membership = {.sync_after_list = false}}},
            {"from a serving peer",
             {.restart = true, .new_machine = true, .predecessor_dead = true},
             {.membership = {.sync_from_serving = false}}},
        }));
    explorer all(may_start, dropped);
    INFO("dropped: " << what);
    const std::string run = joined(all.broken_run());
    CHECK_FALSE(run.empty());
}
