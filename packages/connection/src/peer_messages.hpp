// Conversion of exchanges to and from their encoded form.
#pragma once

#include "plantaindoor/connection/peer_channel.hpp"

#include "peer.pb.h"

#include <string>

namespace plantaindoor::connection {

[[nodiscard]] peer::exchange_message to_wire(const peer_message& message,
                                             const std::string& cluster);
/// Accepts any message; what is out of range is cut to it.
[[nodiscard]] peer_message from_wire(const peer::exchange_message& message);

} // namespace plantaindoor::connection
