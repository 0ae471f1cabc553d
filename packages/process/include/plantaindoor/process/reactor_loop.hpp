// The process's one event loop, on an ACE reactor without a limit on descriptors.
#pragma once

#include "plantaindoor/common/event_loop.hpp"

#include <memory>

namespace plantaindoor::process {

/// event_loop on ACE_Dev_Poll_Reactor. Timers follow the monotonic clock.
class reactor_loop final : public event_loop {
public:
    /// Throws loop_error where the system refuses a descriptor.
    reactor_loop();
    reactor_loop(const reactor_loop&) = delete;
    reactor_loop& operator=(const reactor_loop&) = delete;
    ~reactor_loop() override;

    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wall_now() const override;
    void watch(int descriptor, io_interest interest, io_action on_ready) override;
    void unwatch(int descriptor) override;
    timer_id call_after(nanoseconds delay, action on_time) override;
    void cancel(timer_id timer) override;
    void post(action on_loop) override;

    /// Runs until stop(); may be called again. Must be called on the thread that makes all other
    /// calls.
    void run();
    /// Makes run() return soon. Thread-safe.
    void stop();
    /// Calls back on the loop when the process receives this signal.
    void on_signal(int signal, action on_loop);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace plantaindoor::process
