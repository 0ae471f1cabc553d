#include "plantaindoor/request/slot_shares.hpp"

#include "fakes/uniform_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>

using namespace plantaindoor;
using namespace plantaindoor::request;

namespace {

constexpr milliseconds lifetime{2000};

using make_shares = std::unique_ptr<slot_shares> (*)(const share_options&);

/// Entries that share one pool of ten targets, and what they tell one another.
class sharing_entries {
public:
    sharing_entries(std::size_t count, make_shares make)
        : m_fleet(fakes::uniform_fleet({.instances_per_pool = 10}))
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_ids.emplace_back(fakes::numbered("e", i));
        }
        for (const entry_id& id : m_ids) {
            m_shares.push_back(make({.self = id, .report_lifetime = lifetime}));
            m_shares.back()->update(*m_fleet, now);
            m_shares.back()->set_entries(m_ids, now);
        }
    }

    /// The entry reports, and the listeners hear it.
    void report(std::size_t from, std::uint32_t demand, const std::vector<std::size_t>& listeners)
    {
        const demand_report report{
            .entry = m_ids[from],
            .incarnation = 1,
            .sequence = ++m_sequence,
            .services = {{.service = service_id("s0"), .in_progress = demand}}};
        m_shares[from]->reported(report.services, now);
        for (const std::size_t each : listeners) {
            m_shares[each]->hear(report, now);
        }
    }

    void set_entries(std::size_t at, const std::vector<entry_id>& live)
    {
        m_shares[at]->set_entries(live, now);
    }

    std::uint32_t slots_of(std::size_t entry)
    {
        std::uint32_t slots = 0;
        for (std::uint32_t index = 0; index < 10; ++index) {
            slots += limit(entry, index);
        }
        return slots;
    }

    std::uint32_t limit(std::size_t entry, std::uint32_t index)
    {
        m_shares[entry]->refresh(now);
        return m_shares[entry]->limit({.target = instance_id(fakes::numbered("p0-w0", index)),
                                       .pool = pool_id("p0"),
                                       .index = index,
                                       .targets = 10,
                                       .slots = 8});
    }

    /// Most slots of one target that all entries together would use.
    std::uint32_t most_at_a_target()
    {
        std::uint32_t most = 0;
        for (std::uint32_t index = 0; index < 10; ++index) {
            std::uint32_t sum = 0;
            for (std::size_t entry = 0; entry < m_ids.size(); ++entry) {
                sum += limit(entry, index);
            }
            most = std::max(most, sum);
        }
        return most;
    }

    slot_shares& shares(std::size_t entry) { return *m_shares[entry]; }
    const std::vector<entry_id>& ids() const { return m_ids; }

    time_point now{};

private:
    std::shared_ptr<version::fleet> m_fleet;
    std::vector<entry_id> m_ids;
    std::vector<std::unique_ptr<slot_shares>> m_shares;
    std::uint64_t m_sequence = 0;
};

} // namespace

TEST_CASE("slots are split wholly, and nobody is left without", "[slots]")
{
    REQUIRE(rc::check("split_slots", [] {
        const auto total = *rc::gen::inRange<std::uint64_t>(0, 20000);
        const auto raw = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 3000U)));
        const std::vector<double> demand(raw.begin(), raw.end());
        const auto parts = split_slots(total, demand);
        const double equal = double(total) / double(demand.size());
        RC_ASSERT(std::accumulate(parts.begin(), parts.end(), std::uint64_t{0}) == total);
        const double asked = std::accumulate(demand.begin(), demand.end(), 0.0);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            RC_ASSERT(double(parts[i]) + 1 >= 0.1 * equal);
            // What fits is granted, and an equal part always.
            const double due = asked + 0.1 * double(total) <= double(total)
                                   ? demand[i]
                                   : std::min(demand[i], equal);
            RC_ASSERT(double(parts[i]) + 1 >= due);
        }
    }));
}

TEST_CASE("entries that know the same never admit beyond a target's slots", "[slots]")
{
    const make_shares make = GENERATE(make_fixed_shares, make_demand_shares);
    sharing_entries entries(7, make);
    CHECK(entries.most_at_a_target() == 8);
    const std::vector<std::uint32_t> demand{3, 60, 0, 9, 200, 14, 1};
    for (std::size_t i = 0; i < 7; ++i) {
        entries.report(i, demand[i], {0, 1, 2, 3, 4, 5, 6});
    }
    CHECK(entries.most_at_a_target() == 8);
}

TEST_CASE("shares follow the demand", "[slots]")
{
    sharing_entries entries(4, make_demand_shares);
    for (std::size_t i = 0; i < 4; ++i) {
        entries.report(i, i == 0 ? 100 : 5, {0, 1, 2, 3});
    }
    CHECK(entries.slots_of(0) == 65);
    CHECK(entries.slots_of(1) == 5);
}

TEST_CASE("an entry that is cut off falls back to an equal part", "[slots]")
{
    sharing_entries entries(4, make_demand_shares);
    for (std::size_t i = 0; i < 4; ++i) {
        entries.report(i, i == 0 ? 100 : 5, {0, 1, 2, 3});
    }
    // All are cut from one another for longer than a report is relied on.
    entries.now += lifetime + milliseconds{1};
    for (std::size_t i = 0; i < 4; ++i) {
        entries.report(i, i == 0 ? 100 : 5, {});
    }
    CHECK(entries.slots_of(0) == 20);
    CHECK(entries.most_at_a_target() <= 8);
}

TEST_CASE("a frozen entry keeps an equal part until it is no longer live", "[slots]")
{
    sharing_entries entries(4, make_demand_shares);
    for (std::size_t i = 0; i < 4; ++i) {
        entries.report(i, 0, {0, 1, 2, 3});
    }
    entries.now += lifetime + milliseconds{1};
    for (std::size_t i = 1; i < 4; ++i) {
        entries.report(i, 100, {1, 2, 3});
    }
    CHECK(entries.slots_of(1) + entries.slots_of(2) + entries.slots_of(3) == 60);
    const std::vector<entry_id> live{entries.ids()[1], entries.ids()[2], entries.ids()[3]};
    for (std::size_t i = 1; i < 4; ++i) {
        entries.set_entries(i, live);
    }
    CHECK(entries.slots_of(1) + entries.slots_of(2) + entries.slots_of(3) == 80);
}

TEST_CASE("a report that was overtaken by a newer one is ignored", "[slots]")
{
    sharing_entries entries(2, make_demand_shares);
    entries.report(1, 0, {0});
    entries.report(0, 100, {});
    const std::uint32_t before = entries.slots_of(0);
    const demand_report late{.entry = entries.ids()[1],
                             .incarnation = 1,
                             .sequence = 0,
                             .services = {{.service = service_id("s0"), .in_progress = 100}}};
    entries.shares(0).hear(late, entries.now);
    CHECK(entries.slots_of(0) == before);
}

TEST_CASE("a target that refused is not asked beyond the share for a while", "[slots]")
{
    sharing_entries entries(4, make_borrowing_shares);
    const std::uint32_t borrowing = entries.limit(0, 3);
    entries.shares(0).refused(instance_id("p0-w03"), entries.now);
    CHECK(entries.limit(0, 3) == borrowing - 1);
    entries.now += milliseconds{200};
    CHECK(entries.limit(0, 3) == borrowing);
}

TEST_CASE("nothing is borrowed while demand is far beyond the slots", "[slots]")
{
    sharing_entries entries(4, make_borrowing_shares);
    for (std::size_t i = 0; i < 4; ++i) {
        entries.report(i, 50, {0, 1, 2, 3});
    }
    CHECK(entries.most_at_a_target() == 8);
}
