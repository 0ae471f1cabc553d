// The sockets that libcurl keeps for later calls, so that one on which bytes wait that nobody asked
// for is never used again.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <unordered_map>

namespace plantaindoor::connection {

/// Both ends of a connection, as far as they differ between this process's connections.
struct connection_ends {
    std::string remote_address;
    int remote_port = 0;
    int local_port = 0;

    friend auto operator<=>(const connection_ends&, const connection_ends&) = default;
};

/// Loop thread only.
class kept_sockets {
public:
    /// A connection stands on a socket that was opened for it.
    void add(int descriptor, connection_ends ends);
    /// Closes the socket and forgets it.
    void close(int descriptor);
    /// Whether something waits to be read on the connection, its end included. False for an unknown
    /// one.
    [[nodiscard]] bool has_unasked_bytes(const connection_ends& ends) const;

private:
    std::map<connection_ends, int> m_by_ends;
    std::unordered_map<int, connection_ends> m_by_descriptor;
};

} // namespace plantaindoor::connection
