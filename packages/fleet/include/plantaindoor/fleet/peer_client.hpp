// Requests from entry to entry over HTTP on a separate port: queries to the leader and liveness
// probes.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/record.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantaindoor::fleet {

/// Result of probing a peer's process.
enum class peer_liveness {
    alive,
    ended,        ///< no process listens at the address, or another incarnation answers
    unresponsive, ///< no usable answer
};

/// Sends requests to the leader of one shard. Loop thread only. Each callback runs once, after the
/// call has returned.
class peer_client {
public:
    using state_callback = std::function<void(std::optional<job::job_status>)>;
    using pending_callback = std::function<void(std::optional<std::size_t>)>;
    using liveness_callback = std::function<void(peer_liveness)>;

    peer_client(event_loop& loop, connection::http_client& client, shard_number shard);

    /// Sets the leader's address and incarnation; both are empty if there is no leader or it is
    /// this process.
    void set_leader(const std::string& address, const std::string& incarnation);

    /// Asks the leader for a job's state. No value if the leader can't be asked or has no such job.
    void state(const job_id& id, state_callback done);
    /// Asks the leader for the number of pending jobs of a queue. No value if it can't be asked.
    void pending(const std::string& queue, pending_callback done);
    /// Checks whether the leader's process is alive.
    void probe(liveness_callback done);
    [[nodiscard]] bool has_leader() const noexcept { return m_leader.has_value(); }

private:
    void call(const std::string& target, connection::http_client::callback done);

    event_loop& m_loop;
    connection::http_client& m_client;
    shard_number m_shard;
    std::optional<connection::endpoint> m_leader;
    std::string m_incarnation;
};

/// Provides the state for the answers to peers.
struct peer_state_source {
    std::string incarnation;
    /// Returns no value if this entry isn't a leader of the shard that is ready, or has no such
    /// job.
    std::function<std::optional<job::job_status>(shard_number, const job_id&)> state;
    /// Returns no value if this entry isn't a leader of the shard that is ready.
    std::function<std::optional<std::size_t>(shard_number, const std::string& queue)> pending;
};

/// Answers a peer's request. Thread-safe if the functions of `source` are.
[[nodiscard]] connection::http_response handle_peer_request(const connection::http_request& request,
                                                            const peer_state_source& source);

} // namespace plantaindoor::fleet
