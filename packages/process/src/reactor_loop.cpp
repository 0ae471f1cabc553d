#include "plantaindoor/process/reactor_loop.hpp"

#include "descriptor_watches.hpp"
#include "loop_error.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Log_Msg.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

namespace plantaindoor::process {

namespace {

constexpr milliseconds longest_wait{1000};

/// The reactor refuses a table larger than the process's limit on descriptors.
std::size_t handle_limit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        throw loop_error("getrlimit", errno);
    }
    constexpr rlim_t most_handles = 65536;
    return std::min(limit.rlim_cur, most_handles);
}

/// Passes the readiness of the watched descriptors' set on to it.
class watches_handler final : public ACE_Event_Handler {
public:
    explicit watches_handler(descriptor_watches& watches) : m_watches(watches) {}

    ACE_HANDLE get_handle() const override { return m_watches.descriptor(); }
    int handle_input(ACE_HANDLE /*unused*/) override
    {
        m_watches.run_ready();
        return 0;
    }

private:
    descriptor_watches& m_watches;
};

/// Notes signals and wakes the loop; safe in a signal's context.
class signal_handler final : public ACE_Event_Handler {
public:
    signal_handler(int wake_descriptor, std::atomic<bool>& raised)
        : m_wake_descriptor(wake_descriptor), m_raised(raised)
    {
    }

    int handle_signal(int /*signal*/, siginfo_t* /*info*/, ucontext_t* /*context*/) override
    {
        m_raised = true;
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(m_wake_descriptor, &one, sizeof one);
        return 0;
    }

private:
    int m_wake_descriptor;
    std::atomic<bool>& m_raised;
};

} // namespace

class reactor_loop::implementation {
public:
    implementation()
        : m_wake_descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
          m_poll_reactor(handle_limit()),
          m_reactor(&m_poll_reactor)
    {
        // A wait that a signal ends is reported there as an error; real ones are checked here.
        ACE_LOG_MSG->priority_mask(0, ACE_Log_Msg::PROCESS);
        if (m_wake_descriptor < 0) {
            throw loop_error("eventfd", errno);
        }
        if (!m_poll_reactor.initialized()) {
            throw loop_error("ACE_Dev_Poll_Reactor", errno);
        }
        if (m_reactor.register_handler(&m_watches_handler, ACE_Event_Handler::READ_MASK) != 0) {
            throw loop_error("register_handler", errno);
        }
        watch(m_wake_descriptor, {.readable = true}, [this](io_interest) { drain_wake(); });
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        m_reactor.remove_handler(&m_watches_handler,
                                 ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        // The reactor's own destructor would still call the handlers of signals.
        for (auto& [signal, state] : m_signals) {
            m_reactor.remove_handler(signal, static_cast<ACE_Sig_Action*>(nullptr));
        }
        ::close(m_wake_descriptor);
    }

    void watch(int descriptor, io_interest interest, io_action on_ready)
    {
        m_watches.watch(descriptor, interest, std::move(on_ready));
    }

    void unwatch(int descriptor) { m_watches.unwatch(descriptor); }

    timer_id call_after(time_point when, action on_time)
    {
        const timer_id id{++m_last_timer};
        m_timers.emplace(std::pair{when, id}, std::move(on_time));
        m_timer_times.emplace(id, when);
        return id;
    }

    void cancel(timer_id timer)
    {
        const auto found = m_timer_times.find(timer);
        if (found != m_timer_times.end()) {
            m_timers.erase({found->second, timer});
            m_timer_times.erase(found);
        }
    }

    void post(action on_loop)
    {
        {
            const std::lock_guard lock(m_posted_mutex);
            m_posted.push_back(std::move(on_loop));
        }
        wake();
    }

    void run()
    {
        while (!m_stopping.exchange(false)) {
            ACE_Time_Value wait = time_to_wait();
            m_reactor.handle_events(wait);
            run_signals();
            run_posted();
            run_timers();
        }
    }

    void stop()
    {
        m_stopping = true;
        wake();
    }

    void on_signal(int signal, action on_loop)
    {
        auto& state = m_signals[signal];
        state.handler = std::make_unique<signal_handler>(m_wake_descriptor, state.raised);
        state.on_loop = std::move(on_loop);
        if (m_reactor.register_handler(signal, state.handler.get()) != 0) {
            throw loop_error("register_handler", errno);
        }
    }

private:
    struct signal_state {
        std::unique_ptr<signal_handler> handler;
        std::atomic<bool> raised{false};
        action on_loop;
    };

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = ::write(m_wake_descriptor, &one, sizeof one);
    }

    void drain_wake() const
    {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto got = ::read(m_wake_descriptor, &count, sizeof count);
    }

    [[nodiscard]] ACE_Time_Value time_to_wait()
    {
        nanoseconds wait = longest_wait;
        if (!m_timers.empty()) {
            const auto until = m_timers.begin()->first.first - std::chrono::steady_clock::now();
            wait = std::clamp<nanoseconds>(until, nanoseconds(0), wait);
        }
        // Rounded up to the reactor's grain, so that a near timer doesn't spin the loop.
        const auto rounded = std::chrono::ceil<milliseconds>(wait);
        return ACE_Time_Value(static_cast<time_t>(rounded.count() / 1000),
                              static_cast<suseconds_t>(rounded.count() % 1000 * 1000));
    }

    void run_signals()
    {
        for (auto& [signal, state] : m_signals) {
            if (state.raised.exchange(false)) {
                state.on_loop();
            }
        }
    }

    void run_posted()
    {
        std::vector<action> posted;
        {
            const std::lock_guard lock(m_posted_mutex);
            posted.swap(m_posted);
        }
        for (const action& each : posted) {
            each();
        }
    }

    void run_timers()
    {
        const time_point now = std::chrono::steady_clock::now();
        while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
            auto node = m_timers.extract(m_timers.begin());
            m_timer_times.erase(node.key().second);
            node.mapped()();
        }
    }

    int m_wake_descriptor;
    descriptor_watches m_watches;
    watches_handler m_watches_handler{m_watches};
    ACE_Dev_Poll_Reactor m_poll_reactor;
    ACE_Reactor m_reactor;
    std::map<std::pair<time_point, timer_id>, action> m_timers;
    std::unordered_map<timer_id, time_point> m_timer_times;
    std::uint64_t m_last_timer = 0;
    std::map<int, signal_state> m_signals;
    std::mutex m_posted_mutex;
    std::vector<action> m_posted;
    std::atomic<bool> m_stopping{false};
};

reactor_loop::reactor_loop() : m_implementation(std::make_unique<implementation>()) {}
reactor_loop::~reactor_loop() = default;

time_point reactor_loop::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time reactor_loop::wall_now() const
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

void reactor_loop::watch(int descriptor, io_interest interest, io_action on_ready)
{
    m_implementation->watch(descriptor, interest, std::move(on_ready));
}

void reactor_loop::unwatch(int descriptor)
{
    m_implementation->unwatch(descriptor);
}

timer_id reactor_loop::call_after(nanoseconds delay, action on_time)
{
    return m_implementation->call_after(now() + delay, std::move(on_time));
}

void reactor_loop::cancel(timer_id timer)
{
    m_implementation->cancel(timer);
}

void reactor_loop::post(action on_loop)
{
    m_implementation->post(std::move(on_loop));
}

void reactor_loop::run()
{
    m_implementation->run();
}

void reactor_loop::stop()
{
    m_implementation->stop();
}

void reactor_loop::on_signal(int signal, action on_loop)
{
    m_implementation->on_signal(signal, std::move(on_loop));
}

} // namespace plantaindoor::process
