#include "fakes/delayed_table.hpp"
#include "fakes/memory_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/membership_reader.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

/// Rows and a list that note what was asked for, in order.
class noting_platform final : public table, public instance_list {
public:
    explicit noting_platform(event_loop& loop) : m_loop(loop) {}

    void read(std::vector<std::string>, read_callback) override {}
    void transact(table_transaction, transact_callback) override {}
    void scan(scan_options, read_callback done) override
    {
        asked += 'r';
        bytes += answer_bytes(rows);
        m_loop.call_after(milliseconds(10), [this, done = std::move(done)] {
            done(down ? std::nullopt : read_result(rows));
        });
    }
    void list(list_callback done) override
    {
        asked += 'l';
        m_loop.call_after(milliseconds(10), [this, done = std::move(done)] { done(listed); });
    }

    void add_rows(std::size_t count, std::size_t busy)
    {
        for (std::size_t n = 0; n < count; ++n) {
            version::registration row{.entry = entry_id("e" + std::to_string(n))};
            for (std::size_t target = 0; target < busy; ++target) {
                row.busy.emplace_back("worker-" + std::to_string(target));
            }
            rows.push_back({version::registration_key(row), version::encode(row), n + 1});
        }
    }

    std::string asked;
    std::size_t bytes = 0;
    std::vector<table_row> rows;
    std::vector<listed_instance> listed{{.id = "w1"}};
    bool down = false;

private:
    event_loop& m_loop;
};

/// Asks again whenever it was answered; notes the longest time between answers.
struct steady_caller {
    steady_caller(fakes::virtual_loop& loop, membership_reader& reader)
        : m_loop(loop), m_reader(reader)
    {
        ask();
    }

    void ask()
    {
        m_reader.read({.on_answer = [this](const membership_answer& answer) {
            answered += answer.listed ? 1 : 0;
            longest = std::max(longest, m_loop.now() - m_last);
            m_last = m_loop.now();
            ask();
        }});
    }

    int answered = 0;
    nanoseconds longest{0};

private:
    fakes::virtual_loop& m_loop;
    membership_reader& m_reader;
    time_point m_last = m_loop.now();
};

} // namespace

TEST_CASE("callers share a reading, and the list is asked for after the rows",
          "[membership_reader]")
{
    fakes::virtual_loop loop;
    noting_platform platform(loop);
    platform.add_rows(3, 0);
    membership_reader reader(loop, platform, platform);
    std::string seen;
    const auto caller = [&](const char* name) {
        return membership_reader::caller{
            .on_rows = [&seen,
                        name](const auto& rows) { seen += name + std::to_string(rows.size()); },
            .on_answer = [&seen](const membership_answer& got) { seen += got.listed ? "+" : "-"; }};
    };
    reader.read(caller("a"));
    loop.run_for(milliseconds(5));
    // Begun before these calls, so it is not theirs.
    reader.read(caller("b"));
    reader.read(caller("c"));
    loop.run_for(milliseconds(100));
    CHECK(platform.asked == "rl");
    CHECK(seen == "a3+");
    loop.run_for(seconds(2));
    CHECK(platform.asked == "rlrl");
    CHECK(seen == "a3+b3c3++");
}

TEST_CASE("the rows' bytes stay within their share, and holders are not starved",
          "[membership_reader]")
{
    const std::size_t count = GENERATE(7U, 20U, 60U, 300U);
    const std::size_t busy = GENERATE(0U, 60U);
    fakes::virtual_loop loop;
    noting_platform platform(loop);
    platform.add_rows(count, busy);
    const membership_reader_options options;
    membership_reader reader(loop, platform, platform, options);
    const steady_caller duties(loop, reader);
    const steady_caller registrar(loop, reader);
    loop.run_for(seconds(70));
    const std::size_t once = answer_bytes(platform.rows);
    CAPTURE(count, busy, once);
    CHECK(duties.longest <= options.pace.most + milliseconds(100));
    const auto slowest =
        static_cast<std::size_t>(milliseconds(seconds(70)) / options.pace.most) + 1;
    CHECK(platform.bytes <= std::max(70 * options.pace.bytes_per_second + once, slowest * once));
}

TEST_CASE("a reading that failed is told as failed and tried again soon", "[membership_reader]")
{
    fakes::virtual_loop loop;
    noting_platform platform(loop);
    platform.add_rows(60, 60);
    platform.down = true;
    membership_reader reader(loop, platform, platform);
    const steady_caller caller(loop, reader);
    loop.run_for(milliseconds(3500));
    CHECK(platform.asked == "rrrr");
    CHECK(caller.answered == 0);
    platform.down = false;
    platform.rows.push_back({"entry/broken", "{", 99});
    loop.run_for(milliseconds(1000));
    CHECK(platform.asked == "rrrrr");
    CHECK(caller.answered == 0);
}
