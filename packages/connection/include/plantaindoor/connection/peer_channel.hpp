// The peers' side of an entry over gRPC: answers exchanges and makes them. Carries messages; what
// they mean is decided elsewhere.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/request/demand.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::connection {

/// An entry that the sender has heard from, and how long ago.
struct peer_heard {
    entry_id entry;
    milliseconds age{0};
};

/// One direction of an exchange. packages/connection/peer.proto says what each field means.
struct peer_message {
    entry_id entry;
    std::uint64_t incarnation = 0;
    version::version_number version = 0;
    version::version_number version_before = 0;
    /// Encoded log records.
    std::vector<std::string> records;
    /// An encoded fleet, or empty.
    std::string snapshot;
    std::vector<request::demand_report> demand;
    std::optional<milliseconds> head_age;
    bool serving = false;
    std::vector<peer_heard> heard;
};

enum class exchange_outcome {
    answered,
    unreachable,   ///< no answer within the time
    wrong_cluster, ///< the peer belongs to another deployment
    self,          ///< the address is this entry's own
};

/// The listener for peers can't be opened.
class peer_listen_error : public error {
public:
    explicit peer_listen_error(const endpoint& at)
        : error("peer-listen-error", "cannot listen for peers at " + at.str(),
                {{"endpoint", at.str()}})
    {
    }
};

struct peer_channel_options {
    std::string cluster;
    entry_id self;
    std::uint64_t incarnation = 0;
    endpoint listen;
    milliseconds timeout{1000};
    std::size_t max_message_bytes = 4U << 20U;
    /// Answers an exchange that a peer of this cluster began. On the loop's thread.
    std::function<peer_message(const peer_message&)> on_exchange;
};

/// Owns the gRPC server and the channels to peers. Loop thread only; the loop must outlive it.
class peer_channel {
public:
    using exchange_callback = std::function<void(exchange_outcome, const peer_message& answer)>;

    /// Throws peer_listen_error.
    peer_channel(event_loop& loop, peer_channel_options options);
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;
    /// Cancels what is under way; no callback runs afterwards.
    ~peer_channel();

    /// Begins an exchange; the callback runs exactly once, later, unless the channel ends first.
    void exchange(const endpoint& peer, const peer_message& message, exchange_callback done);
    /// Closes the connections to peers not in the list.
    void keep_only(const std::vector<endpoint>& peers);

    /// The port listened on.
    [[nodiscard]] std::uint16_t port() const noexcept;
    /// Bytes of messages sent and received, encoded.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;
    [[nodiscard]] std::uint64_t bytes_received() const noexcept;

private:
    class parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace plantaindoor::connection

namespace plantaindoor {

template<>
struct enum_names<connection::exchange_outcome> {
    static constexpr std::array<enum_name<connection::exchange_outcome>, 4> table{{
        {connection::exchange_outcome::answered, "answered"},
        {connection::exchange_outcome::unreachable, "unreachable"},
        {connection::exchange_outcome::wrong_cluster, "wrong-cluster"},
        {connection::exchange_outcome::self, "self"},
    }};
};

} // namespace plantaindoor
