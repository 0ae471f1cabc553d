// Enumerates the states of the division of a cap between shards whose leaders are killed, frozen or
// replaced while they still run, and whose writes are late or lost. Also leaves out each condition
// of the protocol in turn, to show that the enumeration would detect its absence.
#include "plantaindoor/policy/quota_division.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

const workspace_id alpha{"alpha"};
constexpr time_point some_time{seconds(100)};

/// A condition of the protocol that is left out.
enum class omission {
    none,
    count_from_decision,   ///< the donor takes a transfer back when its write isn't answered
    give_only_free,        ///< the donor gives what its tasks use
    count_possible_starts, ///< a new leader starts tasks while its predecessor's runs are in doubt
    no_gift_in_doubt,      ///< a new leader gives while its predecessor's runs are in doubt
    read_committed,        ///< the recipient counts a transfer before its row is committed
    read_own_row,          ///< a new leader doesn't read its row
    read_under_claim,      ///< a new leader reads its row before its claim is applied
    claim_condition,       ///< writes aren't conditioned on the claim
    version_condition,     ///< writes aren't conditioned on the row's version
    count_runs_of_stopped, ///< a run counts no longer once its stop has been ordered
};

struct model_limits {
    std::uint32_t shards = 2;
    /// Changes of the leader of the first shard; the shards are alike.
    int takeovers = 1;
    int transfers = 2;
    /// Transfers of this many parts of a task's need.
    std::int64_t transfers_per_task = 1;
    /// Writes that are sent. One that is never applied is lost.
    int writes = 3;
    std::size_t max_states = 1'000'000;
};

/// A leader of one shard, which may have been replaced without knowing it.
struct model_leader {
    quota_division division;
    int claim = 0;
    /// The version of the shard's row that it knows.
    int version = 0;
    int used = 0;
    bool in_doubt = false;
    bool awaits_answer = false;
    bool unwritten = false;
    /// The division before the transfer that awaits its answer.
    std::optional<quota_row> before;
    /// Versions of the others' rows that it has read.
    std::vector<int> read;
};

struct model_write {
    std::uint32_t shard = 0;
    int claim = 0;
    int expected = 0;
    quota_row row;
};

struct model_shard {
    int claim = 0;
    int version = 0;
    quota_row row;
    /// Tasks that run on the shard's workers, whoever started them.
    int running = 0;
    /// Runs whose stop was ordered and that haven't ended; counted in `running`.
    int stopping = 0;
    /// The holder of the claim is the last one.
    std::vector<model_leader> leaders;
    /// Read before a claim; only where that condition is left out.
    std::optional<std::pair<int, quota_row>> early_read;
};

struct model_state {
    std::vector<model_shard> shards;
    std::vector<model_write> writes;
    int takeovers = 0;
    int transfers = 0;
    int writes_sent = 0;
};

class quota_model {
public:
    quota_model(model_limits limits, omission left_out)
        : m_limits(limits),
          m_omission(left_out),
          m_task(quota_units / limits.shards),
          m_transfer(m_task / limits.transfers_per_task)
    {
    }

    /// Returns what is violated in some reachable state, or nothing if no state violates anything.
    std::string explore()
    {
        model_state first;
        for (std::uint32_t shard = 0; shard < m_limits.shards; ++shard) {
            model_shard each;
            model_leader leader{.division = new_division(shard)};
            leader.read.resize(m_limits.shards);
            leader.division.restore({});
            each.leaders.push_back(std::move(leader));
            first.shards.push_back(std::move(each));
        }
        visit(std::move(first));
        while (!m_pending.empty() && m_violation.empty() && m_seen.size() < m_limits.max_states) {
            const model_state state = std::move(m_pending.front());
            m_pending.pop_front();
            advance(state);
        }
        return m_violation;
    }

    [[nodiscard]] std::size_t states() const { return m_seen.size(); }
    /// Whether all reachable states were visited.
    [[nodiscard]] bool is_exhaustive() const { return m_pending.empty(); }

private:
    [[nodiscard]] bool omits(omission condition) const { return m_omission == condition; }

    [[nodiscard]] quota_division new_division(std::uint32_t shard) const
    {
        return quota_division({.shard = shard, .shards = m_limits.shards});
    }

    [[nodiscard]] static std::int64_t units(const quota_division& division)
    {
        return division.share(alpha).cpu;
    }

    void visit(model_state state)
    {
        if (m_seen.insert(key_of(state)).second) {
            check(state);
            m_pending.push_back(std::move(state));
        }
    }

    void check(const model_state& state)
    {
        int running = 0;
        std::int64_t parts = 0;
        for (const model_shard& shard : state.shards) {
            running += shard.running;
            std::int64_t largest = 0;
            for (const model_leader& leader : shard.leaders) {
                if (leader.division.is_restored()) {
                    largest = std::max(largest, units(leader.division));
                }
            }
            parts += largest;
        }
        if (running > static_cast<int>(m_limits.shards)) {
            m_violation = "more tasks run than the cap allows";
        }
        else if (parts > quota_units) {
            m_violation = "the parts in use exceed the cap";
        }
    }

    [[nodiscard]] static std::string key_of(const model_state& state)
    {
        std::string key;
        const auto add = [&](std::int64_t number) { key += std::to_string(number) + ','; };
        const auto add_row = [&](const quota_row& row) {
            for (const auto& [workspace, by_recipient] : row.given) {
                for (const auto& [recipient, given] : by_recipient) {
                    add(recipient);
                    add(given.cpu);
                }
            }
            key += ';';
        };
        add(state.takeovers);
        add(state.transfers);
        add(state.writes_sent);
        for (const model_shard& shard : state.shards) {
            add(shard.claim);
            add(shard.version);
            add(shard.running);
            add(shard.stopping);
            add_row(shard.row);
            if (shard.early_read) {
                add(shard.early_read->first);
                add_row(shard.early_read->second);
            }
            for (const model_leader& leader : shard.leaders) {
                key += leader.division.is_restored() ? 'r' : 'n';
                key += leader.in_doubt ? 'd' : '-';
                key += leader.awaits_answer ? 'a' : '-';
                key += leader.unwritten ? 'u' : '-';
                add(leader.claim);
                add(leader.version);
                add(leader.used);
                add(units(leader.division));
                add_row(leader.division.row());
                for (const int version : leader.read) {
                    add(version);
                }
                if (leader.before) {
                    add_row(*leader.before);
                }
            }
            key += '|';
        }
        for (const model_write& write : state.writes) {
            add(write.shard);
            add(write.claim);
            add(write.expected);
            add_row(write.row);
        }
        return key;
    }

    void advance(const model_state& state)
    {
        for (std::uint32_t shard = 0; shard < m_limits.shards; ++shard) {
            for (std::size_t leader = 0; leader < state.shards[shard].leaders.size(); ++leader) {
                run_tasks(state, shard, leader);
                transfer(state, shard, leader);
                write_again(state, shard, leader);
                read_others(state, shard, leader);
            }
            replace_leader(state, shard);
            restore(state, shard);
            end_doubt(state, shard);
        }
        for (std::size_t write = 0; write < state.writes.size(); ++write) {
            deliver(state, write);
        }
    }

    void run_tasks(const model_state& state, std::uint32_t shard, std::size_t leader)
    {
        const model_leader& from = state.shards[shard].leaders[leader];
        const bool may_start = !from.in_doubt || omits(omission::count_possible_starts);
        if (may_start && (from.used + 1) * m_task <= units(from.division)) {
            model_state next = state;
            ++next.shards[shard].running;
            ++next.shards[shard].leaders[leader].used;
            visit(std::move(next));
        }
        if (from.used > 0) {
            model_state next = state;
            --next.shards[shard].running;
            --next.shards[shard].leaders[leader].used;
            visit(std::move(next));
        }
        if (from.used > 0 && omits(omission::count_runs_of_stopped)) {
            model_state next = state;
            ++next.shards[shard].stopping;
            --next.shards[shard].leaders[leader].used;
            visit(std::move(next));
        }
    }

    void send(model_state& state, std::uint32_t shard, std::size_t leader) const
    {
        model_leader& from = state.shards[shard].leaders[leader];
        state.writes.push_back({shard, from.claim, from.version, from.division.row()});
        ++state.writes_sent;
        from.awaits_answer = true;
        from.unwritten = true;
    }

    void transfer(const model_state& state, std::uint32_t shard, std::size_t leader)
    {
        const model_leader& from = state.shards[shard].leaders[leader];
        if (!from.division.is_restored() || from.awaits_answer ||
            state.transfers >= m_limits.transfers || state.writes_sent >= m_limits.writes ||
            (from.in_doubt && !omits(omission::no_gift_in_doubt))) {
            return;
        }
        quota_usage usage{.cap = {.cpu_millis = static_cast<std::int64_t>(m_limits.shards)},
                          .share = from.division.share(alpha),
                          .running = {.cpu_millis = from.used}};
        const quota_share free = omits(omission::give_only_free) ? usage.share : usage.free_share();
        for (std::uint32_t to = 0; to < m_limits.shards; ++to) {
            if (to == shard || free.cpu < m_transfer) {
                continue;
            }
            model_state next = state;
            model_leader& donor = next.shards[shard].leaders[leader];
            if (omits(omission::count_from_decision)) {
                donor.before = donor.division.row();
            }
            donor.division.give(alpha, to, {.cpu = m_transfer}, free);
            ++next.transfers;
            send(next, shard, leader);
            if (omits(omission::read_committed)) {
                for (model_leader& recipient : next.shards[to].leaders) {
                    recipient.division.note_row(
                        shard, next.shards[shard].leaders[leader].division.row(), some_time);
                }
            }
            visit(std::move(next));
        }
    }

    void write_again(const model_state& state, std::uint32_t shard, std::size_t leader)
    {
        const model_leader& from = state.shards[shard].leaders[leader];
        if (from.awaits_answer) {
            // The answer is given up; the write may still be applied.
            model_state next = state;
            model_leader& waiting = next.shards[shard].leaders[leader];
            waiting.awaits_answer = false;
            if (omits(omission::count_from_decision) && waiting.before) {
                waiting.division.restore(*std::exchange(waiting.before, std::nullopt));
            }
            visit(std::move(next));
        }
        else if (from.unwritten && state.writes_sent < m_limits.writes) {
            model_state next = state;
            send(next, shard, leader);
            visit(std::move(next));
        }
    }

    void read_others(const model_state& state, std::uint32_t shard, std::size_t leader)
    {
        for (std::uint32_t other = 0; other < m_limits.shards; ++other) {
            const model_shard& from = state.shards[other];
            if (other == shard || state.shards[shard].leaders[leader].read[other] >= from.version) {
                continue;
            }
            model_state next = state;
            model_leader& reader = next.shards[shard].leaders[leader];
            reader.read[other] = from.version;
            reader.division.note_row(other, from.row, some_time);
            visit(std::move(next));
        }
    }

    /// A leader is killed, or loses its claim and goes on for a while.
    void replace_leader(const model_state& state, std::uint32_t shard)
    {
        const model_shard& from = state.shards[shard];
        if (shard != 0) {
            return;
        }
        if (omits(omission::read_under_claim) && !from.early_read) {
            model_state next = state;
            next.shards[shard].early_read = std::pair(from.version, from.row);
            visit(std::move(next));
        }
        if (state.takeovers >= m_limits.takeovers || from.leaders.size() > 1) {
            return;
        }
        for (const bool killed : {false, true}) {
            model_state next = state;
            model_shard& to = next.shards[shard];
            if (killed) {
                to.leaders.clear();
            }
            model_leader successor{
                .division = new_division(shard), .claim = ++to.claim, .in_doubt = true};
            successor.read.resize(m_limits.shards);
            to.leaders.push_back(std::move(successor));
            ++next.takeovers;
            visit(std::move(next));
        }
    }

    void restore(const model_state& state, std::uint32_t shard)
    {
        if (state.shards[shard].leaders.back().division.is_restored()) {
            return;
        }
        model_state next = state;
        model_shard& at = next.shards[shard];
        model_leader& successor = at.leaders.back();
        if (omits(omission::read_own_row)) {
            successor.division.restore({});
        }
        else if (omits(omission::read_under_claim) && at.early_read) {
            successor.division.restore(at.early_read->second);
        }
        else {
            successor.division.restore(at.row);
        }
        successor.version = at.version;
        visit(std::move(next));
    }

    /// All workers have acknowledged the claim, or the leases of the predecessor have expired: it
    /// can't start anything any more, and its runs are known.
    void end_doubt(const model_state& state, std::uint32_t shard)
    {
        if (!state.shards[shard].leaders.back().in_doubt) {
            return;
        }
        model_state next = state;
        model_shard& at = next.shards[shard];
        at.leaders.erase(at.leaders.begin(), at.leaders.end() - 1);
        at.leaders.back().in_doubt = false;
        at.leaders.back().used = at.running - at.stopping;
        visit(std::move(next));
    }

    void deliver(const model_state& state, std::size_t index)
    {
        model_state next = state;
        const model_write write = next.writes[index];
        next.writes.erase(next.writes.begin() + static_cast<std::ptrdiff_t>(index));
        model_shard& at = next.shards[write.shard];
        const bool claim_holds = write.claim == at.claim || omits(omission::claim_condition);
        const bool version_holds =
            write.expected == at.version || omits(omission::version_condition);
        const bool applied = claim_holds && version_holds;
        if (applied) {
            at.row = write.row;
            ++at.version;
        }
        for (model_leader& leader : at.leaders) {
            if (leader.claim != write.claim || !leader.awaits_answer) {
                continue;
            }
            if (applied) {
                leader.awaits_answer = false;
                leader.version = at.version;
                leader.unwritten = leader.division.row() != write.row;
                leader.before.reset();
            }
            else if (claim_holds) {
                leader.awaits_answer = false;
                leader.version = at.version;
            }
        }
        visit(std::move(next));
    }

    model_limits m_limits;
    omission m_omission;
    std::int64_t m_task;
    std::int64_t m_transfer;
    std::unordered_set<std::string> m_seen;
    std::deque<model_state> m_pending;
    std::string m_violation;
};

} // namespace

TEST_CASE("No reachable state of two or three shards uses more than the cap")
{
    for (const model_limits& limits :
         {model_limits{.takeovers = 2, .transfers = 3},
          model_limits{.takeovers = 2, .transfers_per_task = 2},
          model_limits{.shards = 3, .takeovers = 1, .transfers = 2, .writes = 2}}) {
        quota_model model(limits, omission::none);
        CHECK(model.explore().empty());
        CHECK(model.is_exhaustive());
        CHECK(model.states() > 20'000);
    }
}

// Guards against an enumeration that couldn't find a violation.
TEST_CASE("Leaving out any condition of the division is detected")
{
    for (const omission left_out :
         {omission::count_from_decision, omission::give_only_free, omission::count_possible_starts,
          omission::no_gift_in_doubt, omission::read_committed, omission::read_own_row,
          omission::read_under_claim, omission::claim_condition, omission::version_condition,
          omission::count_runs_of_stopped}) {
        // Only two transfers by one donor show that an earlier write may replace a later one.
        const std::int64_t parts = left_out == omission::version_condition ? 2 : 1;
        quota_model model({.transfers_per_task = parts}, left_out);
        const std::string violation = model.explore();
        INFO("condition " << static_cast<int>(left_out) << ", " << model.states() << " states");
        CHECK_FALSE(violation.empty());
    }
}
