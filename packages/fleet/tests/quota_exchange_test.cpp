#include "plantaindoor/fleet/quota_exchange.hpp"

#include "fakes/virtual_loop.hpp"
#include "plantaindoor/fleet/leader_tracker.hpp"
#include "plantaindoor/fleet/quota_rows.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

const workspace_id alpha{"alpha"};
constexpr row_version claim_version = 50;

/// Answers reads with one version, and keeps what is written without applying it.
class recording_store final : public row_store {
public:
    explicit recording_store(event_loop& loop) : m_loop(loop) {}

    row_version version = claim_version;
    std::vector<stored_row> rows;
    std::vector<row_transaction> transactions;
    /// Delivered by the next watch call.
    std::vector<stored_row> changes;
    std::size_t reads = 0;
    commit_result answer{.outcome = commit_outcome::unknown, .present = {}};

    void commit(row_transaction transaction, milliseconds /*timeout*/,
                commit_callback done) override
    {
        transactions.push_back(std::move(transaction));
        m_loop.call_after(milliseconds(5), [this, done = std::move(done)] { done(answer); });
    }
    void read(row_query query, milliseconds /*timeout*/, read_callback done) override
    {
        ++reads;
        row_page page{.version = version};
        for (const stored_row& row : rows) {
            if (row.at.table == query.table && row.at.partition == query.partition) {
                page.rows.push_back(row);
            }
        }
        m_loop.call_after(milliseconds(5), [page, done = std::move(done)] { done(page); });
    }
    void watch(const std::string& /*table*/, row_version after, milliseconds wait,
               row_watch_callback done) override
    {
        if (!changes.empty()) {
            m_loop.call_after(milliseconds(5),
                              [rows = std::exchange(changes, {}), done = std::move(done)] {
                                  done({.outcome = row_watch_outcome::changed,
                                        .rows = rows,
                                        .version = rows.back().version});
                              });
            return;
        }
        m_loop.call_after(wait, [after, done = std::move(done)] {
            done({.outcome = row_watch_outcome::changed, .version = after});
        });
    }

private:
    event_loop& m_loop;
};

/// The exchange of the first of two shards, and a request of the other.
struct exchange_fixture {
    fakes::virtual_loop loop;
    recording_store store{loop};
    metrics_registry metrics;
    job::scheduler scheduler{{.shard = 0, .shard_count = 2}, loop.now()};
    std::unique_ptr<quota_exchange> subject;

    explicit exchange_fixture(const policy::resources& cap)
    {
        policy::quota_row row;
        row.requests[alpha] = {.next = {.cpu = 10}, .all = {.cpu = 10}, .since = 1};
        store.rows.push_back({.at = quota_address(1), .value = to_text(row, 1), .version = 9});
        // A request counts once its shard has written it again.
        store.changes.push_back({.at = quota_address(1), .value = to_text(row, 1), .version = 10});
        scheduler.set_workspaces({{.id = alpha, .cap = cap}});
    }
    void begin()
    {
        subject = std::make_unique<quota_exchange>(
            loop, store, scheduler, metrics,
            quota_exchange_options{
                .claim = {leader_claim_address(0), claim_version}, .shard = 0, .shards = 2},
            [] {});
    }
    void run_for(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(100)) {
            loop.run_for(milliseconds(100));
            subject->tick();
        }
    }
    [[nodiscard]] std::int64_t share() const { return scheduler.quota().find(alpha)->share.cpu; }
};

constexpr policy::resources some_cap{.cpu_millis = 1000};

} // namespace

// Guards against a predecessor's late write, and an earlier one of the same leader.
TEST_CASE("each write of a row of shares depends on the claim and on the row's last version")
{
    exchange_fixture fixture(some_cap);
    fixture.store.rows.push_back(
        {.at = quota_address(0), .value = to_text(policy::quota_row{}, 1), .version = 7});
    fixture.begin();
    fixture.scheduler.note_live_workers({}, list_extent::complete, fixture.loop.now());
    fixture.run_for(milliseconds(500));
    REQUIRE_FALSE(fixture.store.transactions.empty());
    const auto& conditions = fixture.store.transactions[0].conditions;
    REQUIRE(conditions.size() == 2);
    CHECK(conditions[0].at == leader_claim_address(0));
    CHECK(conditions[0].version == claim_version);
    CHECK(conditions[1].at == quota_address(0));
    CHECK(conditions[1].version == 7);
    // The write wasn't answered, and its transfer counts as given.
    CHECK(fixture.share() == policy::quota_units / 2 - 10);
}

// Guards against a leader that gives what its predecessor's runs use.
TEST_CASE("a leader gives nothing while it is in doubt about its predecessor")
{
    exchange_fixture fixture(some_cap);
    fixture.begin();
    fixture.run_for(seconds(2));
    CHECK(fixture.store.transactions.empty());
    CHECK(fixture.share() == policy::quota_units / 2);
}

// Guards against a store that answers with rows from before the claim.
TEST_CASE("nothing starts under a cap until the row has been read as of the claim")
{
    exchange_fixture fixture(some_cap);
    fixture.store.version = claim_version - 1;
    fixture.begin();
    fixture.run_for(seconds(1));
    CHECK(fixture.share() == 0);
    fixture.store.version = claim_version;
    fixture.run_for(seconds(1));
    CHECK(fixture.share() == policy::quota_units / 2);
}

TEST_CASE("a malformed row of its own gives a shard no share")
{
    exchange_fixture fixture(some_cap);
    fixture.store.rows.push_back({.at = quota_address(0), .value = "x", .version = 7});
    fixture.begin();
    fixture.run_for(seconds(1));
    CHECK(fixture.share() == 0);
}

TEST_CASE("nothing is read or written while no workspace has a cap")
{
    exchange_fixture fixture({});
    fixture.begin();
    fixture.scheduler.note_live_workers({}, list_extent::complete, fixture.loop.now());
    fixture.run_for(seconds(3));
    CHECK(fixture.store.reads == 0);
    CHECK(fixture.store.transactions.empty());
}
