// The target stand-in: simulates a service time for each request, counts runs by request id, and
// answers correctly or with the configured fault.
#pragma once

#include "connection.hpp"

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/time.hpp"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace plantaindoor::stand_in {

enum class target_fault {
    none,
    refuse,       ///< answers 503 before starting
    slow,         ///< adds slow_ms to the service time
    freeze,       ///< holds received requests until the fault is cleared, then runs them
    fail_all,     ///< answers 500 at once
    truncate,     ///< closes in the middle of the body
    over_long,    ///< sends a body of over_long_bytes
    wrong_length, ///< sends more bytes than Content-Length says
    reset,        ///< runs, then resets the connection without an answer
    never_end,    ///< sends an endless chunked body
    trickle,      ///< sends one byte at a time
    swap,         ///< sends the previous request's answer
};

struct target_options {
    std::string id;
    std::size_t slots = 8;
    milliseconds service_time{5};
};

/// Thread-safe; each connection is served by a thread of its own.
class target {
public:
    explicit target(const target_options& options);

    /// Serves one accepted socket until it closes.
    void serve(int descriptor);
    /// Returns the downtime of a requested reboot and clears the request; zero if there is none.
    [[nodiscard]] milliseconds consume_reboot_request();

private:
    struct answer {
        int status = 200;
        std::string request_id;
        std::string body;
    };

    /// Handles a request; returns false if the connection must be closed.
    bool handle(connection& peer, const http_request& request);
    bool handle_admin(connection& peer, const http_request& request);
    bool run(connection& peer, const http_request& request);
    bool finish(std::uint64_t boot);
    [[nodiscard]] answer make_answer(const http_request& request, std::uint64_t runs);
    bool send_answer(connection& peer, target_fault fault, const answer& content);

    [[nodiscard]] std::string runs_json();
    void set_fault(const std::string& body);
    void reboot(const std::string& body, const connection& requester);

    target_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_state_changed;
    target_fault m_fault = target_fault::none;
    milliseconds m_slow{1000};
    std::size_t m_over_long_bytes = std::size_t{64} << 20;
    /// Incremented by each reboot; requests of an earlier boot are interrupted.
    std::uint64_t m_boot = 1;
    milliseconds m_requested_downtime{0};
    std::set<connection*> m_connections;
    std::map<std::string, std::uint64_t> m_runs;
    std::map<std::string, std::uint64_t> m_runs_by_key;
    std::size_t m_in_progress = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_interrupted = 0;
    std::uint64_t m_refused = 0;
    answer m_previous;
};

} // namespace plantaindoor::stand_in

namespace plantaindoor {

template<>
struct enum_names<stand_in::target_fault> {
    using fault = stand_in::target_fault;
    static constexpr std::array<enum_name<fault>, 12> table{{
        {fault::none, "none"},
        {fault::refuse, "refuse"},
        {fault::slow, "slow"},
        {fault::freeze, "freeze"},
        {fault::fail_all, "fail-all"},
        {fault::truncate, "truncate"},
        {fault::over_long, "over-long"},
        {fault::wrong_length, "wrong-length"},
        {fault::reset, "reset"},
        {fault::never_end, "never-end"},
        {fault::trickle, "trickle"},
        {fault::swap, "swap"},
    }};
};

} // namespace plantaindoor
