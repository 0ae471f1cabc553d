// What adapters ask of the process's one event loop. Every callback runs on the loop's thread.
#pragma once

#include "plantaindoor/common/time.hpp"

#include <cstdint>
#include <functional>

namespace plantaindoor {

/// What a descriptor is watched for; a bit set.
struct io_interest {
    bool readable = false;
    bool writable = false;
};

/// Identifies a timer that has not run yet. Zero is never a timer.
enum class timer_id : std::uint64_t { none = 0 };

/// A single-threaded reactor: descriptors, one-shot timers, and posting from other threads.
class event_loop : public time_source {
public:
    using action = std::function<void()>;
    using io_action = std::function<void(io_interest ready)>;

    /// Watches a descriptor, replacing an earlier watch on it. Loop thread only.
    /// The descriptor must stay open until unwatch().
    virtual void watch(int descriptor, io_interest interest, io_action on_ready) = 0;
    /// Ends the watch; does nothing for an unwatched descriptor. Loop thread only.
    virtual void unwatch(int descriptor) = 0;

    /// Runs the action once after the delay. Loop thread only.
    virtual timer_id call_after(nanoseconds delay, action on_time) = 0;
    /// Cancels a timer; does nothing if it has run. Loop thread only.
    virtual void cancel(timer_id timer) = 0;

    /// Runs the action soon on the loop's thread. Thread-safe.
    virtual void post(action on_loop) = 0;
};

} // namespace plantaindoor
