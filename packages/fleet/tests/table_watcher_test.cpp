#include "plantaindoor/fleet/table_watcher.hpp"

#include "fakes/virtual_loop.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <utility>

using namespace plantaindoor;
using namespace plantaindoor::fleet;

namespace {

constexpr milliseconds latency{4};
constexpr std::size_t partition_count = 32;

std::vector<std::string> partitions()
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < partition_count; ++number) {
        names.push_back("p" + std::to_string(number));
    }
    return names;
}

/// Answers a share of the reads, with one row for each partition. Its watch calls return without
/// changes when their wait is over.
class unreliable_store final : public row_store {
public:
    unreliable_store(event_loop& loop, double failed_share) : m_loop(loop), m_fails(failed_share) {}

    void commit(row_transaction, milliseconds, commit_callback) override {}

    void read(row_query query, milliseconds, read_callback done) override
    {
        const bool fails = m_fails(m_random);
        m_loop.call_after(latency, [fails, query = std::move(query), done = std::move(done)] {
            done(fails ? std::nullopt
                       : std::optional(row_page{
                             .rows = {{.at = {query.table, query.partition, "row"}, .version = 1}},
                             .version = 1}));
        });
    }

    void watch(const std::string&, row_version after, milliseconds wait,
               row_watch_callback done) override
    {
        m_loop.call_after(wait + latency, [after, done = std::move(done)] {
            done({.outcome = row_watch_outcome::changed, .version = after});
        });
    }

private:
    event_loop& m_loop;
    std::mt19937_64 m_random{1};
    std::bernoulli_distribution m_fails;
};

struct watched_table {
    explicit watched_table(double failed_share)
        : store(loop, failed_share),
          watcher(loop, store,
                  {.table = "t", .partitions = partitions(), .wait = milliseconds(1000)},
                  {.on_row = [this](const stored_row&) { ++rows; },
                   .on_complete = [] {},
                   .on_response = [] {},
                   .on_failure = [this] { ++failures; }})
    {
    }

    fakes::virtual_loop loop;
    unreliable_store store;
    std::size_t rows = 0;
    std::size_t failures = 0;
    table_watcher watcher;
};

} // namespace

TEST_CASE("a full read of many partitions completes while the store fails a third of the calls")
{
    watched_table table(0.33);
    table.loop.run_for(seconds(1));
    CHECK(table.failures > 5);
    CHECK(table.watcher.is_complete());
    CHECK(table.rows == partition_count);
}

TEST_CASE("while nothing changes, the view is never older than one wait and the call's latency")
{
    watched_table table(0);
    table.loop.run_for(milliseconds(100));
    REQUIRE(table.watcher.is_complete());
    for (int step = 0; step < 500; ++step) {
        table.loop.run_for(milliseconds(10));
        CHECK(table.loop.now() - table.watcher.current_as_of() <= milliseconds(1000) + 2 * latency);
    }
}
