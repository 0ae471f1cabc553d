// One run of an entry: owns every part of it, from the listeners to the log of versions.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/process/claim_sweeper.hpp"
#include "plantaindoor/process/pool_duty.hpp"
#include "plantaindoor/process/wave_planner.hpp"
#include "plantaindoor/request/attempt_tracker.hpp"
#include "plantaindoor/request/claim_batcher.hpp"
#include "plantaindoor/request/retry_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::process {

struct entry_options {
    std::string cluster;
    entry_id id;
    availability_zone_id zone;
    /// Random per start.
    std::uint64_t incarnation = 0;
    connection::endpoint callers;
    connection::endpoint operators;
    connection::endpoint peers;
    connection::endpoint platform;
    std::vector<connection::endpoint> known_peers;
    std::string operator_token;
    std::size_t body_limit_bytes = 1U << 20U;
    std::size_t answer_limit_bytes = 8U << 20U;
    milliseconds platform_timeout{2000};
    milliseconds head_poll{500};
    /// The most by which the platform's instance list may be behind the truth.
    milliseconds list_lag{30000};
    /// Requests that wait for a slot, and the bytes of their bodies.
    std::size_t queue_requests = 1000;
    std::size_t queue_requests_per_service = 512;
    std::size_t queue_bytes = 16U << 20U;
    request::attempt_options attempts;
    request::retry_budget_options retries;
    /// Longest wait for a claim.
    milliseconds claim_wait{500};
    /// The owner's prefix is set by the entry.
    request::claim_options claims;
    claim_sweeper_options claim_sweep;
    wave_planner::options waves;
    pool_duty::timing wave_times;
    /// Term of the duties' leases, and the time from one renewal to the next.
    milliseconds lease{6000};
    milliseconds renew{1000};
    milliseconds list_poll{1000};
    /// From leaving until the process ends even if requests are still in progress.
    milliseconds drain_timeout{60000};
    /// Spans kept for /traces, and the file that they are appended to; empty: none.
    std::size_t trace_ring = 2000;
    std::filesystem::path trace_file;
    /// From the moment of being told to end until no new request is taken.
    milliseconds leave_delay{2000};
};

/// The explicit owner of a run's state. Loop thread only.
class entry {
public:
    /// Opens the listeners. Throws listen_error. The loop must outlive the entry.
    entry(event_loop& loop, entry_options options);
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    /// Begins to follow the log and to serve.
    void start();
    /// Turns not ready at once, later takes no new work, and calls back once nothing is in
    /// progress. Later calls do nothing.
    void end(event_loop::action on_ended);

    [[nodiscard]] connection::endpoint callers_endpoint() const;
    [[nodiscard]] connection::endpoint operators_endpoint() const;
    [[nodiscard]] connection::endpoint peers_endpoint() const;

private:
    class parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace plantaindoor::process
