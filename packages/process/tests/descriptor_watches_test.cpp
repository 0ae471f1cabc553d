#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace plantaindoor;
using plantaindoor::process::reactor_loop;

namespace {

/// Two connected sockets; the near one is watched.
struct socket_pair {
    socket_pair() { ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()); }
    socket_pair(const socket_pair&) = delete;
    socket_pair& operator=(const socket_pair&) = delete;
    ~socket_pair()
    {
        close_near();
        ::close(ends[1]);
    }

    [[nodiscard]] int near() const { return ends[0]; }
    void make_ready() const { CHECK(::write(ends[1], "x", 1) == 1); }
    void close_near()
    {
        if (ends[0] >= 0) {
            ::close(ends[0]);
            ends[0] = -1;
        }
    }
    /// Gives the near end the number of a descriptor that was closed.
    void move_near_to(int descriptor)
    {
        CHECK(::fcntl(ends[0], F_DUPFD, descriptor) == descriptor);
        ::close(ends[0]);
        ends[0] = descriptor;
    }

    std::array<int, 2> ends{-1, -1};
};

} // namespace

TEST_CASE("a watch that ends after its descriptor was closed does no harm", "[reactor_loop]")
{
    reactor_loop loop;
    socket_pair first;
    socket_pair second;
    const int number = first.near();
    loop.watch(number, {.readable = true}, [](io_interest) { FAIL("closed"); });
    first.close_near();
    loop.unwatch(number);

    std::string seen;
    second.move_near_to(number);
    second.make_ready();
    loop.watch(number, {.readable = true}, [&](io_interest) {
        seen += "second";
        loop.unwatch(number);
        loop.stop();
    });
    loop.run();
    CHECK(seen == "second");
}

TEST_CASE("a descriptor that was opened anew is watched anew", "[reactor_loop]")
{
    reactor_loop loop;
    socket_pair first;
    socket_pair second;
    const int number = first.near();
    loop.watch(number, {.readable = true}, [](io_interest) { FAIL("closed"); });
    first.close_near();
    second.move_near_to(number);
    second.make_ready();
    bool seen = false;
    loop.watch(number, {.readable = true}, [&](io_interest ready) {
        seen = ready.readable;
        loop.stop();
    });
    loop.run();
    CHECK(seen);
    loop.unwatch(number);
}

TEST_CASE("an action may end another watch that is ready too", "[reactor_loop]")
{
    reactor_loop loop;
    const socket_pair one;
    const socket_pair other;
    int runs = 0;
    const auto ends_the_other = [&](int descriptor) {
        return [&loop, &runs, descriptor](io_interest) {
            ++runs;
            loop.unwatch(descriptor);
            loop.post([&loop] { loop.stop(); });
        };
    };
    one.make_ready();
    other.make_ready();
    loop.watch(one.near(), {.readable = true}, ends_the_other(other.near()));
    loop.watch(other.near(), {.readable = true}, ends_the_other(one.near()));
    loop.run();
    CHECK(runs == 1);
}
