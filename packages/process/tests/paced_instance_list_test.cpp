#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/paced_instance_list.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

/// Answers 100 ms after the call with what was true when it was made.
class slow_list final : public instance_list {
public:
    explicit slow_list(event_loop& loop) : m_loop(loop) {}

    void list(list_callback done) override
    {
        ++readings;
        m_loop.call_after(milliseconds(100),
                          [done = std::move(done), seen = truth] { done(seen); });
    }

    std::vector<listed_instance> truth{{.id = "w1"}};
    int readings = 0;

private:
    event_loop& m_loop;
};

} // namespace

TEST_CASE("callers share a reading, and each gets one that was begun after its call",
          "[paced_instance_list]")
{
    fakes::virtual_loop loop;
    slow_list inner(loop);
    paced_instance_list paced(loop, inner);
    std::vector<std::size_t> lines;
    const auto note = [&](const auto& listed) { lines.push_back(listed->size()); };
    paced.list(note);
    inner.truth.push_back({.id = "w2"});
    loop.run_for(milliseconds(50));
    paced.list(note);
    paced.list(note);
    loop.run_for(seconds(1));
    CHECK(lines == std::vector<std::size_t>{1, 2, 2});
    CHECK(inner.readings == 2);
}

TEST_CASE("the bytes of a long list stay within their share", "[paced_instance_list]")
{
    fakes::virtual_loop loop;
    slow_list inner(loop);
    inner.truth.resize(1000);
    paced_instance_list paced(loop, inner);
    std::function<void()> ask = [&] { paced.list([&](const auto&) { ask(); }); };
    ask();
    loop.run_for(seconds(60));
    CHECK(inner.readings * 1000 * 52 <= 60 * 12'000 + 1000 * 52);
    CHECK(inner.readings >= 10);
}

TEST_CASE("a reading that ends after the list is gone calls nobody", "[paced_instance_list]")
{
    fakes::virtual_loop loop;
    slow_list inner(loop);
    int called = 0;
    {
        paced_instance_list paced(loop, inner);
        paced.list([&](const auto&) { ++called; });
    }
    loop.run_for(seconds(1));
    CHECK(called == 0);
}
