// How machines are divided among pools that want more of them than there are.
#include "plantaindoor/policy/machine_division.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <numeric>
#include <random>
#include <tuple>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr int random_cases = 2000;

const machine_division subject;

pool_need need_of(std::uint32_t present, std::array<std::uint32_t, machine_demand_count> up_to,
                  milliseconds short_for = milliseconds(0))
{
    return {.present = present, .up_to = up_to, .short_for = short_for};
}

std::uint32_t present_in(const std::vector<pool_need>& pools)
{
    return std::accumulate(pools.begin(), pools.end(), 0U,
                           [](auto sum, const auto& each) { return sum + each.present; });
}

std::uint32_t required_by(const std::vector<pool_need>& pools)
{
    return std::accumulate(pools.begin(), pools.end(), 0U, [](auto sum, const auto& each) {
        return sum + each[machine_demand::required];
    });
}

std::vector<pool_need> random_pools(std::mt19937_64& random)
{
    const auto below = [&](std::uint32_t limit) {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random);
    };
    std::vector<pool_need> pools(1 + below(8));
    const std::uint32_t scale = 1 + below(60);
    for (pool_need& pool : pools) {
        pool.present = below(scale);
        pool.short_for = milliseconds(below(20000));
        pool.receiving = below(4) == 0;
        std::uint32_t sum = 0;
        for (std::uint32_t& each : pool.up_to) {
            sum += below(4) == 0 ? 0 : below(scale);
            each = sum;
        }
    }
    return pools;
}

/// Moves machines as the shares say until no pool both lacks one and another may give one; returns
/// how many were moved.
std::uint32_t move_machines(std::vector<pool_need>& pools)
{
    std::uint32_t moved = 0;
    const auto shares = subject.divide(pools, present_in(pools));
    for (std::size_t receiver = 0; receiver < pools.size(); ++receiver) {
        for (std::size_t source = 0; source < pools.size(); ++source) {
            const auto can_move = [&] {
                const std::uint32_t present = pools[source].present;
                const bool needed = present <= pools[source][machine_demand::all];
                return present > shares[source].keeps &&
                       pools[receiver].present <
                           (needed ? shares[receiver].receives_up_to : shares[receiver].keeps);
            };
            while (can_move()) {
                --pools[source].present;
                ++pools[receiver].present;
                ++moved;
            }
        }
    }
    return moved;
}

template<class Check>
void for_random_pools(Check check)
{
    for (int seed = 0; seed < random_cases; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        check(random_pools(random), random);
    }
}

} // namespace

TEST_CASE("each pool gets what it needs while there are machines for all")
{
    const auto shares = subject.divide({need_of(9, {1, 2, 3, 4}), need_of(0, {0, 0, 0, 0})}, 9);
    CHECK(shares[0].keeps == 4);
    CHECK(shares[0].receives_up_to == 4);
    CHECK(shares[1].keeps == 0);
}

// Guards against a pool that keeps its machines for a backlog while another lacks them for work
// that could be in time.
TEST_CASE("machines that one pool wants for its backlog go to the timely work of another")
{
    const auto shares =
        subject.divide({need_of(39, {1, 5, 5, 60}), need_of(1, {1, 30, 30, 80})}, 35);
    CHECK(shares[1].receives_up_to == 30);
    CHECK(shares[0].keeps == 5);
}

// Guards against a class of requests that gets nothing while others get nearly all that they want.
TEST_CASE("pools that can't serve all in time lack the same part of what they need")
{
    const auto shares =
        subject.divide({need_of(20, {0, 20, 20, 20}), need_of(10, {0, 40, 60, 60})}, 30);
    CHECK(shares[0].keeps == 10);
    CHECK(shares[1].receives_up_to == 20);
}

// Guards against machines that are moved to and fro, each time without use for a while.
TEST_CASE("a pool that lacks little of its share gets no machine while they are short")
{
    const auto receives = [](std::uint32_t present) {
        return subject
            .divide({need_of(present, {1, 64, 64, 64}), need_of(64 - present, {1, 64, 64, 64})},
                    64)[0]
            .receives_up_to;
    };
    CHECK(receives(29) == 29);
    CHECK(receives(27) == 32);
}

// Guards against machines that are vacated for a pool and then stay where they are.
TEST_CASE("a pool that has begun to get machines gets its whole share")
{
    pool_need receiver = need_of(31, {1, 64, 64, 64});
    receiver.receiving = true;
    const pool_need other = need_of(33, {1, 64, 64, 64});
    CHECK(subject.divide({receiver, other}, 64)[0].receives_up_to == 32);
}

// Guards against a machine that nobody needs and that stays where it is while others lack it.
TEST_CASE("a pool keeps room in its share for all machines that others don't need")
{
    CHECK(subject.divide({need_of(30, {0, 36, 36, 36})}, 34)[0].keeps == 34);
}

// Guards against late jobs, which are still worth something, waiting behind those that aren't.
TEST_CASE("machines go to late work before work that is worth nothing any more")
{
    const auto shares =
        subject.divide({need_of(38, {1, 2, 2, 200}), need_of(2, {1, 2, 20, 20})}, 40);
    CHECK(shares[1].receives_up_to == 20);
}

// Guards against a pool that never gets a machine as others hold them, with fewer machines than
// pools.
TEST_CASE("pools take turns where there are fewer machines than pools")
{
    const auto divide = [](milliseconds wait_of_other) {
        return subject.divide({need_of(0, {1, 1, 1, 1}, wait_of_other), need_of(1, {1, 3, 3, 3})},
                              1);
    };
    CHECK(divide(milliseconds(5900))[1].keeps == 1);
    CHECK(divide(milliseconds(6100))[0].receives_up_to == 1);
    CHECK(divide(milliseconds(6100))[1].keeps == 0);
}

// Guards against a division that depends on the names of the pools, by which they are sorted.
TEST_CASE("the order of the pools doesn't decide their shares")
{
    for_random_pools([](const std::vector<pool_need>& pools, std::mt19937_64& random) {
        const auto outcome = [](const std::vector<pool_need>& each) {
            const auto shares = subject.divide(each, present_in(each));
            std::vector<std::tuple<std::uint32_t, std::array<std::uint32_t, machine_demand_count>,
                                   milliseconds, bool, std::uint32_t, std::uint32_t>>
                rows;
            for (std::size_t at = 0; at < each.size(); ++at) {
                rows.emplace_back(each[at].present, each[at].up_to, each[at].short_for,
                                  each[at].receiving, shares[at].keeps, shares[at].receives_up_to);
            }
            std::sort(rows.begin(), rows.end());
            return rows;
        };
        auto permuted = pools;
        std::shuffle(permuted.begin(), permuted.end(), random);
        REQUIRE(outcome(pools) == outcome(permuted));
    });
}

TEST_CASE("no more machines are divided than there are, and no share exceeds what a pool needs")
{
    for_random_pools([](const std::vector<pool_need>& pools, std::mt19937_64& /*random*/) {
        const std::uint32_t machines = present_in(pools);
        const auto shares = subject.divide(pools, machines);
        REQUIRE(shares.size() == pools.size());
        std::uint32_t received = 0;
        for (std::size_t at = 0; at < pools.size(); ++at) {
            received += shares[at].receives_up_to;
            REQUIRE(shares[at].receives_up_to <= shares[at].keeps);
            REQUIRE(shares[at].keeps <= pools[at][machine_demand::all]);
        }
        REQUIRE(received <= machines);
    });
}

// Guards against a pool that has work and no machine for it, while another has more than it must.
TEST_CASE("every pool gets what it can't do without where that is possible")
{
    for_random_pools([](std::vector<pool_need> pools, std::mt19937_64& /*random*/) {
        if (required_by(pools) > present_in(pools)) {
            return;
        }
        move_machines(pools);
        for (const pool_need& pool : pools) {
            REQUIRE(pool.present >= pool[machine_demand::required]);
        }
    });
}

// Guards against machines that are moved on although nothing has changed.
TEST_CASE("a division that has been carried out moves no further machine")
{
    for_random_pools([](std::vector<pool_need> pools, std::mt19937_64& /*random*/) {
        move_machines(pools);
        REQUIRE(move_machines(pools) == 0);
    });
}

TEST_CASE("no pool lacks a machine of its share while another has one that nobody needs")
{
    for_random_pools([](std::vector<pool_need> pools, std::mt19937_64& /*random*/) {
        const auto shares = subject.divide(pools, present_in(pools));
        move_machines(pools);
        bool lacks = false;
        bool spare = false;
        for (std::size_t at = 0; at < pools.size(); ++at) {
            lacks = lacks || pools[at].present < shares[at].keeps;
            spare = spare || pools[at].present > pools[at][machine_demand::all];
        }
        REQUIRE_FALSE((lacks && spare));
    });
}

// Guards against a process that ends: the sum of the demands wrapped round, so that the shares were
// more machines than there were, and the loop that distributes the rest wrote beyond its list.
TEST_CASE("demands whose sum exceeds 32 bits are divided like any other")
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    constexpr std::uint32_t half = most / 2 + 1;
    for (const std::uint32_t demand : {half, most}) {
        INFO("demand " << demand);
        const std::vector pools{need_of(10, {1, demand, demand, demand}),
                                need_of(30, {1, demand, demand, demand})};
        const auto shares = subject.divide(pools, 40);
        CHECK(shares[0].keeps == 20);
        CHECK(shares[1].keeps == 20);

        const std::vector required{need_of(10, {demand, demand, demand, demand}),
                                   need_of(30, {demand, demand, demand, demand})};
        const auto of_required = subject.divide(required, 40);
        CHECK(of_required[0].keeps + of_required[1].keeps == 40);
    }
}

// As above, for any demands that the type can hold.
TEST_CASE("the shares are never more than there are machines, whatever the demands")
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    for (int seed = 0; seed < random_cases; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        std::vector<pool_need> pools = random_pools(random);
        const std::uint32_t machines = present_in(pools);
        for (pool_need& pool : pools) {
            // Scaled by a random power of two up to the largest value.
            const unsigned shift = std::uniform_int_distribution<unsigned>(0, 31)(random);
            for (std::uint32_t& each : pool.up_to) {
                const std::uint64_t scaled = std::uint64_t{each} << shift;
                each = static_cast<std::uint32_t>(std::min<std::uint64_t>(scaled, most));
            }
        }
        std::uint64_t needed = 0;
        std::uint64_t kept = 0;
        const auto shares = subject.divide(pools, machines);
        REQUIRE(shares.size() == pools.size());
        for (std::size_t pool = 0; pool < pools.size(); ++pool) {
            needed += pools[pool][machine_demand::all];
            kept += shares[pool].keeps;
            CHECK(shares[pool].keeps <= pools[pool][machine_demand::all]);
            CHECK(shares[pool].receives_up_to <= shares[pool].keeps);
        }
        CHECK(kept == std::min<std::uint64_t>(needed, machines));
    }
}
