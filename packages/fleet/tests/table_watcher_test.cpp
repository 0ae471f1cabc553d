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

/// Has lost its history, and answers reads from a moment before that for a while.
class stale_store final : public row_store {
public:
    static constexpr row_version stale_version = 5;
    static constexpr row_version newest_version = 9;

    explicit stale_store(event_loop& loop) : m_loop(loop) {}

    void set_stale(bool stale) { m_stale = stale; }
    [[nodiscard]] std::size_t reads() const { return m_reads; }

    void commit(row_transaction, milliseconds, commit_callback) override {}

    void read(row_query query, milliseconds, read_callback done) override
    {
        ++m_reads;
        row_page page{.version = m_stale ? stale_version : newest_version};
        if (!m_stale) {
            page.rows.push_back({.at = {query.table, query.partition, "new"}, .version = 8});
        }
        m_loop.call_after(latency, [page, done = std::move(done)] { done(page); });
    }

    void watch(const std::string&, row_version after, milliseconds wait,
               row_watch_callback done) override
    {
        const bool lost = m_stale || after < newest_version;
        m_loop.call_after(lost ? latency : wait + latency, [lost, after, done = std::move(done)] {
            done({.outcome = lost ? row_watch_outcome::history_lost : row_watch_outcome::changed,
                  .version = after});
        });
    }

private:
    event_loop& m_loop;
    bool m_stale = false;
    std::size_t m_reads = 0;
};

/// Loses its history once; the full read after that lacks the row.
class rereading_store final : public row_store {
public:
    rereading_store(event_loop& loop, list_extent second) : m_loop(loop), m_second(second) {}

    void commit(row_transaction, milliseconds, commit_callback) override {}

    void read(row_query query, milliseconds, read_callback done) override
    {
        row_page page{.extent = m_reads == 0 ? list_extent::complete : m_second, .version = 9};
        if (m_reads == 0) {
            page.rows.push_back({.at = {query.table, query.partition, "row"}, .version = 8});
        }
        ++m_reads;
        m_loop.call_after(latency, [page, done = std::move(done)] { done(page); });
    }

    void watch(const std::string&, row_version after, milliseconds wait,
               row_watch_callback done) override
    {
        const bool lost = m_reads == 1;
        m_loop.call_after(lost ? seconds(1) : wait + latency, [lost, after,
                                                               done = std::move(done)] {
            done({.outcome = lost ? row_watch_outcome::history_lost : row_watch_outcome::changed,
                  .version = after});
        });
    }

private:
    event_loop& m_loop;
    list_extent m_second;
    std::size_t m_reads = 0;
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

// Guards against rows that seem to be removed, and against reads without a pause.
TEST_CASE("a read from before what was already seen is repeated after a pause and changes nothing")
{
    fakes::virtual_loop loop;
    stale_store store(loop);
    std::size_t removed = 0;
    table_watcher watcher(loop, store, {.table = "t", .wait = milliseconds(1000)},
                          {.on_row = [&](const stored_row& row) { removed += row.removed ? 1 : 0; },
                           .on_complete = [] {},
                           .on_response = [] {},
                           .on_failure = [] {}});
    loop.run_for(milliseconds(100));
    REQUIRE(watcher.is_complete());

    store.set_stale(true);
    const std::size_t reads_before = store.reads();
    loop.run_for(seconds(3));
    CHECK(store.reads() - reads_before <= 30);
    CHECK(removed == 0);

    store.set_stale(false);
    loop.run_for(seconds(1));
    CHECK(loop.now() - watcher.current_as_of() <= milliseconds(1000) + 2 * latency);
}

// Guards against workers and jobs that seem to be removed as their rows couldn't be read once.
TEST_CASE("only a complete read shows that a row was removed")
{
    const auto removed_by = [](list_extent second) {
        fakes::virtual_loop loop;
        rereading_store store(loop, second);
        std::size_t removed = 0;
        table_watcher watcher(
            loop, store, {.table = "t", .wait = milliseconds(1000)},
            {.on_row = [&](const stored_row& row) { removed += row.removed ? 1 : 0; },
             .on_complete = [] {},
             .on_response = [] {},
             .on_failure = [] {}});
        loop.run_for(seconds(4));
        CHECK(watcher.is_complete());
        return removed;
    };
    CHECK(removed_by(list_extent::complete) == 1);
    CHECK(removed_by(list_extent::partial) == 0);
}
