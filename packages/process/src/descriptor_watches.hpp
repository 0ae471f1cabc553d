// The watched descriptors of one event loop, in an epoll set of their own.
#pragma once

#include "plantaindoor/common/event_loop.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>

#include <sys/epoll.h>

namespace plantaindoor::process {

/// A watch outlives its descriptor without harm: libcurl closes a socket whose connection was not
/// made in time before it asks for the end of the watch, and the descriptor's number may be in use
/// again by then. Not synchronised.
class descriptor_watches {
public:
    /// Throws loop_error.
    descriptor_watches();
    descriptor_watches(const descriptor_watches&) = delete;
    descriptor_watches& operator=(const descriptor_watches&) = delete;
    ~descriptor_watches();

    /// Readable while any watch is ready.
    [[nodiscard]] int descriptor() const noexcept { return m_epoll; }

    /// Throws loop_error for what can't be watched.
    void watch(int descriptor, io_interest interest, event_loop::io_action on_ready);
    void unwatch(int descriptor);
    /// Runs the actions of the watches that are ready now, a bounded number of them. Actions may
    /// watch and unwatch any descriptor; a watch that ended meanwhile is passed over.
    void run_ready();

private:
    /// Taken from the set at a time.
    static constexpr int most_events = 256;
    /// Names one watch for ever, unlike its descriptor.
    using watch_number = std::uint64_t;

    struct entry {
        int descriptor = -1;
        io_interest interest;
        event_loop::io_action on_ready;
    };

    int m_epoll;
    std::array<epoll_event, most_events> m_events{};
    watch_number m_last = 0;
    std::unordered_map<int, watch_number> m_by_descriptor;
    std::unordered_map<watch_number, entry> m_entries;
};

} // namespace plantaindoor::process
