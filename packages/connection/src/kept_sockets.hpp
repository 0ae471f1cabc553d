// The sockets that libcurl keeps for later calls, so that none is used again on which bytes wait
// that nobody asked for, or that may have gone silent.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace plantaindoor::connection {

/// Both ends of a connection, as far as they differ between this process's connections.
struct connection_ends {
    std::string remote_address;
    int remote_port = 0;
    int local_port = 0;

    [[nodiscard]] bool has_remote_of(const connection_ends& other) const
    {
        return remote_address == other.remote_address && remote_port == other.remote_port;
    }

    friend auto operator<=>(const connection_ends&, const connection_ends&) = default;
};

/// Loop thread only.
class kept_sockets {
public:
    /// A connection stands on a socket that was opened for it.
    void add(int descriptor, connection_ends ends);
    /// Closes the socket and forgets it.
    void close(int descriptor);
    /// The socket of a connection, if it is open.
    [[nodiscard]] std::optional<int> find(const connection_ends& ends) const;
    /// A call on this connection has ended without an answer. The other connections to the same
    /// remote end may be as silent, and aren't reusable until they deliver an answer.
    void note_timeout(const connection_ends& ends);
    /// A call on this connection has been answered.
    void note_answer(const connection_ends& ends);
    /// False if the connection may have gone silent, or if something waits to be read on it, its
    /// end included. True for an unknown one.
    [[nodiscard]] bool is_reusable(const connection_ends& ends) const;

private:
    struct kept_socket {
        int descriptor = -1;
        bool maybe_silent = false;
    };

    std::map<connection_ends, kept_socket> m_by_ends;
    std::unordered_map<int, connection_ends> m_by_descriptor;
};

} // namespace plantaindoor::connection
