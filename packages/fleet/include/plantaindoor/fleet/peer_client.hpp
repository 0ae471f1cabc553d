// Entries ask the duty's holder, and tell whether they are alive, over HTTP on a port of their own.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/job/record.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantaindoor::fleet {

/// What a peer's process says of itself.
enum class peer_liveness {
    alive,
    ended, ///< no process listens there, or a later life of it does
    silent,
};

/// Calls of other entries. Loop thread only. Each callback runs once, later.
class peer_client {
public:
    using state_callback = std::function<void(std::optional<job::job_state>)>;
    using pending_callback = std::function<void(std::optional<std::size_t>)>;
    using liveness_callback = std::function<void(peer_liveness)>;

    peer_client(event_loop& loop, connection::http_client& client);

    /// The holder's address and incarnation; empty while there is none, or it is this process.
    void set_leader(const std::string& address, const std::string& incarnation);

    /// The state that the holder tells; nothing where it can't be asked or knows no such job.
    void state(const job_id& id, state_callback done);
    /// Nothing where the holder can't be asked.
    void pending(const std::string& queue, pending_callback done);
    void probe(liveness_callback done);
    [[nodiscard]] bool has_leader() const noexcept { return m_leader.has_value(); }

private:
    void call(const std::string& target, connection::http_client::callback done);

    event_loop& m_loop;
    connection::http_client& m_client;
    std::optional<connection::endpoint> m_leader;
    std::string m_incarnation;
};

/// What an entry answers its peers from.
struct peer_state_source {
    std::string incarnation;
    /// Nothing while this entry doesn't hold the duty, or for a job that it doesn't know.
    std::function<std::optional<job::job_state>(const job_id&)> state;
    /// Nothing while this entry doesn't hold the duty.
    std::function<std::optional<std::size_t>(const std::string& queue)> pending;
};

/// The answer to a peer's call. Thread-safe if the answers are.
[[nodiscard]] connection::http_response handle_peer_request(const connection::http_request& request,
                                                            const peer_state_source& answers);

} // namespace plantaindoor::fleet
