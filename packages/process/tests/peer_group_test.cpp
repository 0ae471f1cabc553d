#include "fakes/delayed_table.hpp"
#include "plantaindoor/process/peer_group.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

constexpr std::size_t node_count = 10;
constexpr std::size_t large = 200'000;

/// An entry's log and its exchanges with the others, over loopback.
struct node {
    node(event_loop& loop, fakes::memory_table& shared, std::uint64_t number)
        : rows(loop, shared, {}, number),
          log(loop, rows, {.author_id = "e" + std::to_string(number), .seed = number}),
          members({.self = entry_id("e" + std::to_string(number)), .incarnation = number},
                  loop.now()),
          peers(loop, log, members,
                {.cluster = "test",
                 .self = entry_id("e" + std::to_string(number)),
                 .incarnation = number,
                 .listen = {"127.0.0.1", 0},
                 .policy = {.seed = number, .period = milliseconds(100), .full_mesh = node_count},
                 .tick = milliseconds(20),
                 .demand = [] { return std::vector<request::service_demand>{}; },
                 .on_demand = [this](const request::demand_report&) { ++heard; }})
    {
        log.start();
        peers.start();
    }

    fakes::delayed_table rows;
    version::table_change_log log;
    membership members;
    std::size_t heard = 0;
    peer_group peers;
};

struct mesh {
    mesh()
    {
        std::vector<version::registration> all;
        for (std::uint64_t number = 1; number <= node_count; ++number) {
            nodes.push_back(std::make_unique<node>(loop, rows, number));
            all.push_back({.entry = entry_id("e" + std::to_string(number)),
                           .peer_address = "127.0.0.1",
                           .peer_port = nodes.back()->peers.port()});
        }
        for (const auto& each : nodes) {
            each->peers.set_registered(all);
        }
    }

    /// Runs the loop until the condition holds for every node.
    void run_until(const std::function<bool(const node&)>& condition)
    {
        const std::function<void()> check = [&] {
            if (std::ranges::all_of(nodes, [&](const auto& each) { return condition(*each); })) {
                loop.stop();
                return;
            }
            loop.call_after(milliseconds(10), check);
        };
        check();
        loop.run();
    }

    /// Runs until each node has heard a few more times from every other.
    void run_rounds()
    {
        for (const auto& each : nodes) {
            each->heard = 0;
        }
        run_until([](const node& each) { return each.heard >= 8 * node_count; });
    }

    [[nodiscard]] std::uint64_t sent() const
    {
        std::uint64_t bytes = 0;
        for (const auto& each : nodes) {
            bytes += each->peers.channel().bytes_sent();
        }
        return bytes;
    }

    reactor_loop loop;
    fakes::memory_table rows;
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace

TEST_CASE("a large version is sent a few times by each entry, not once for each pair", "[peers]")
{
    mesh all;
    all.run_rounds();
    const std::uint64_t before = all.sent();
    all.nodes[0]->log.append({.author = "operator:test",
                              .propose =
                                  [](const auto&) {
                                      return std::vector<version::change>{version::put_team{
                                          {.id = team_id(std::string(large, 't'))}}};
                                  }},
                             [](const auto&) {});
    all.run_until([](const node& each) { return each.log.current()->version == 1; });
    all.run_rounds();
    // Three times each in the half second in which all get it; the rest is small.
    CHECK(all.sent() - before < 4 * node_count * large);
}
