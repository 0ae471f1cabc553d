// Explores every interleaving of the transfer of one machine: two leaders in turn for each of two
// shards, one grant, and orders that arrive at any time and in any order.
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/machine_ownership.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

constexpr std::size_t leader_count = 4;
constexpr std::size_t max_orders = 3;
constexpr shard_number giver = 0;
constexpr shard_number receiver = 1;
const std::string machine = "m";
const rack_id rack{"r0"};

/// The checks of the protocol, each of which can be left out.
struct protocol {
    bool rows_read_before_orders = true;
    bool no_grant_while_unanswered = true;
    /// No leader sends anything once a successor has claimed its shard.
    bool leases_hold = true;
};

constexpr shard_number shard_of(std::size_t leader)
{
    return leader < 2 ? giver : receiver;
}

struct sent_order {
    std::size_t leader = 0;
    fencing_token token = 0;

    friend auto operator<=>(const sent_order&, const sent_order&) = default;
};

struct leader_state {
    row_version claim = absent;
    bool restored = false;
    /// Whether it has read its shard's row of the machine.
    bool row_read = false;
    /// Whether its transaction may be applied from now on.
    bool writing = false;
};

struct world {
    row_version version = 0;
    std::array<leader_state, leader_count> leaders;
    std::map<row_address, stored_row> rows;
    std::size_t orders_sent = 0;
    /// In ascending order.
    std::vector<sent_order> in_flight;
    std::optional<sent_order> last_accepted;
    /// Leaders whose orders were followed by those of another one.
    std::array<bool, leader_count> superseded{};
    std::string violation;

    [[nodiscard]] std::string key() const
    {
        std::string text =
            fmt::format("{} {} {}|", version, orders_sent, fmt::join(superseded, ""));
        for (const leader_state& each : leaders) {
            text += fmt::format("{} {}{}{},", each.claim, int(each.restored), int(each.row_read),
                                int(each.writing));
        }
        for (const auto& [at, row] : rows) {
            text += fmt::format("{} {} {} {},", at.table, at.partition, row.version, row.value);
        }
        for (const sent_order& each : in_flight) {
            text += fmt::format("{}:{},", each.leader, each.token);
        }
        if (last_accepted) {
            text += fmt::format("|{}:{}", last_accepted->leader, last_accepted->token);
        }
        return text;
    }

    [[nodiscard]] const stored_row* find(const row_address& at) const
    {
        const auto found = rows.find(at);
        return found == rows.end() ? nullptr : &found->second;
    }

    [[nodiscard]] bool apply(const row_transaction& transaction)
    {
        for (const row_condition& each : transaction.conditions) {
            const stored_row* const row = find(each.at);
            if ((row == nullptr ? absent : row->version) != each.version) {
                return false;
            }
        }
        ++version;
        for (const row_write& each : transaction.writes) {
            rows[each.at] = {.at = each.at, .value = *each.value, .version = version};
        }
        return true;
    }
};

class exploration {
public:
    explicit exploration(protocol rules) : m_rules(rules) { run(); }

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t states() const { return m_seen.size(); }
    /// Whether an order of each leader was accepted in some state.
    [[nodiscard]] bool all_gave_orders() const
    {
        return std::all_of(m_gave_orders.begin(), m_gave_orders.end(),
                           [](bool each) { return each; });
    }

private:
    void run()
    {
        add(world{});
        while (!m_pending.empty() && m_violation.empty()) {
            const world from = std::move(m_pending.front());
            m_pending.pop_front();
            for (std::size_t leader = 0; leader < leader_count; ++leader) {
                claim(from, leader);
                read(from, leader);
                send(from, leader);
                begin_write(from, leader);
                finish_write(from, leader);
            }
            for (std::size_t order = 0; order < from.in_flight.size(); ++order) {
                arrive(from, order);
            }
        }
    }

    void add(world next)
    {
        if (!next.violation.empty()) {
            m_violation = next.violation;
        }
        if (m_seen.insert(next.key()).second) {
            m_pending.push_back(std::move(next));
        }
    }

    [[nodiscard]] machine_ownership ownership_of(const world& in, std::size_t leader) const
    {
        const leader_state& state = in.leaders[leader];
        machine_ownership ownership(shard_of(leader), state.claim, m_layout);
        if (state.restored) {
            REQUIRE(ownership.restore({}, in.version));
        }
        if (state.row_read) {
            ownership.note_row(*in.find(machine_transfer_address(shard_of(leader), machine)));
        }
        if (state.writing && shard_of(leader) == giver) {
            ownership.note_grant(machine);
        }
        return ownership;
    }

    [[nodiscard]] bool may_send(const world& in, std::size_t leader) const
    {
        const bool is_first = leader % 2 == 0;
        const bool succeeded = is_first && in.leaders[leader + 1].claim != absent;
        return in.leaders[leader].claim != absent && !(m_rules.leases_hold && succeeded);
    }

    /// The second leader of a shard succeeds the first.
    void claim(const world& from, std::size_t leader)
    {
        const bool is_first = leader % 2 == 0;
        if (from.leaders[leader].claim != absent ||
            (!is_first && from.leaders[leader - 1].claim == absent)) {
            return;
        }
        world next = from;
        const row_address at = leader_claim_address(shard_of(leader));
        const row_version previous = is_first ? absent : from.leaders[leader - 1].claim;
        REQUIRE(next.apply({.conditions = {{at, previous}}, .writes = {{at, "claim"}}}));
        next.leaders[leader].claim = next.version;
        next.leaders[leader].restored = !m_rules.rows_read_before_orders;
        add(std::move(next));
    }

    void read(const world& from, std::size_t leader)
    {
        if (from.leaders[leader].claim == absent) {
            return;
        }
        world next = from;
        next.leaders[leader].restored = true;
        next.leaders[leader].row_read =
            from.find(machine_transfer_address(shard_of(leader), machine)) != nullptr;
        add(std::move(next));
    }

    void send(const world& from, std::size_t leader)
    {
        if (from.orders_sent == max_orders || !may_send(from, leader)) {
            return;
        }
        if (const auto token = ownership_of(from, leader).token(machine, rack)) {
            world next = from;
            ++next.orders_sent;
            next.in_flight.push_back({leader, *token});
            std::sort(next.in_flight.begin(), next.in_flight.end());
            add(std::move(next));
        }
    }

    void begin_write(const world& from, std::size_t leader)
    {
        if (from.leaders[leader].writing || !may_send(from, leader)) {
            return;
        }
        const machine_ownership ownership = ownership_of(from, leader);
        if (shard_of(leader) == giver) {
            const bool unanswered =
                std::any_of(from.in_flight.begin(), from.in_flight.end(),
                            [](const auto& each) { return shard_of(each.leader) == giver; });
            if (!ownership.may_give(machine, rack) ||
                (unanswered && m_rules.no_grant_while_unanswered)) {
                return;
            }
        }
        else if (from.find(machine_transfer_address(giver, machine)) == nullptr ||
                 !ownership.is_restored() || ownership.has_received(machine)) {
            return;
        }
        world next = from;
        next.leaders[leader].writing = true;
        add(std::move(next));
    }

    /// The store may carry out a transaction at any time after it was sent.
    void finish_write(const world& from, std::size_t leader)
    {
        const leader_state& state = from.leaders[leader];
        if (!state.writing) {
            return;
        }
        const shard_number shard = shard_of(leader);
        const row_condition claim{leader_claim_address(shard), state.claim};
        world next = from;
        if (next.apply(shard == giver
                           ? grant_transaction(claim, giver, machine, {.receiver = receiver})
                           : receipt_transaction(claim, receiver, machine, giver))) {
            add(std::move(next));
        }
    }

    void arrive(const world& from, std::size_t index)
    {
        world next = from;
        const sent_order order = from.in_flight[index];
        next.in_flight.erase(next.in_flight.begin() + std::ptrdiff_t(index));
        const auto& last = from.last_accepted;
        if (!last || order.token >= last->token) {
            m_gave_orders[order.leader] = true;
            if (shard_of(order.leader) == giver &&
                from.find(machine_transfer_address(giver, machine)) != nullptr) {
                next.violation = "an order of the giver is carried out after the grant";
            }
            if (last && last->leader != order.leader) {
                if (last->token == order.token) {
                    next.violation = "two holders have one token";
                }
                next.superseded[last->leader] = true;
            }
            if (next.superseded[order.leader]) {
                next.violation = "two holders take turns";
            }
            next.last_accepted = order;
        }
        add(std::move(next));
    }

    protocol m_rules;
    std::shared_ptr<const shard_layout> m_layout = std::make_shared<const shard_layout>(
        *parse_shard_layout(R"({"shards":2,"racks":{"r0":0},"queues":{}})"));
    std::unordered_set<std::string> m_seen;
    std::deque<world> m_pending;
    std::array<bool, leader_count> m_gave_orders{};
    std::string m_violation;
};

} // namespace

// Guards against two shards whose leaders order one machine at the same time.
TEST_CASE("no interleaving of a machine's transfer lets two holders order it")
{
    const exploration all(protocol{});
    INFO(all.states() << " states");
    CHECK(all.violation().empty());
    CHECK(all.all_gave_orders());
}

// Guards against an exploration that would find nothing, whatever the protocol.
TEST_CASE("without one of the checks of a machine's transfer, two holders order it")
{
    for (const protocol& incomplete :
         {protocol{.rows_read_before_orders = false}, protocol{.no_grant_while_unanswered = false},
          protocol{.leases_hold = false}}) {
        CHECK(exploration(incomplete).violation() ==
              "an order of the giver is carried out after the grant");
    }
}
