// HTTP calls on the event loop, by libcurl. Says exactly whether a request can have reached the
// other side, and never sends one twice by itself.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/tracing.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/connection/http_message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace plantaindoor::connection {

enum class transport_fault {
    none,           ///< the whole answer is here
    connect_failed, ///< no connection within the time
    broken,         ///< the connection ended before the whole answer
    timed_out,      ///< the time was over before the whole answer
    too_long,       ///< the answer is longer than the limit
    malformed,      ///< the answer is not HTTP, or contradicts its own length
    rejected,       ///< the call's observer ended it
};

/// Watches one call from inside the client: its methods must neither start nor cancel calls. Each
/// returns whether the call may go on; otherwise it ends as `rejected` and its connection closes.
class call_observer {
public:
    call_observer() = default;
    call_observer(const call_observer&) = delete;
    call_observer& operator=(const call_observer&) = delete;
    virtual ~call_observer() = default;

    /// The connection stands, `kept` if it carried another call before; after `true` the first
    /// byte of the request leaves.
    virtual bool may_send(bool kept) = 0;
    /// The answer's whole head is here.
    virtual bool head(const http_response& head) = 0;
    /// More bytes of the answer's body are here.
    virtual bool body(std::size_t bytes) = 0;
};

/// Which connection a call takes, and whether it leaves it to later calls.
enum class connection_use {
    kept,   ///< takes a kept one, or leaves its own behind
    recent, ///< the same, but takes only one whose last call ended less than two seconds ago
    own,    ///< neither takes a kept one nor leaves its own behind
};

struct http_call {
    endpoint to;
    http_request request;
    /// Longest time until the whole answer.
    milliseconds timeout{1000};
    milliseconds connect_timeout{500};
    std::size_t answer_limit_bytes = 8U << 20U;
    /// The other side's closing of an idle connection can't be told from a lost answer.
    connection_use use = connection_use::kept;
    /// May be null.
    std::shared_ptr<call_observer> observer;
    /// Name of the call's span; a literal.
    std::string_view hop = "entry -> platform";
    /// The span that the call is part of; nothing begins a trace of its own.
    std::optional<trace_context> parent;
};

struct http_result {
    transport_fault fault = transport_fault::none;
    /// False only if no byte of the request can have reached the other side.
    bool sent = false;
    /// The request went out on a connection that had carried an earlier call.
    bool on_kept_connection = false;
    http_response response;
    /// Bytes of the request and of the answer as they were on the wire, heads included.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Names a call that has not ended.
enum class call_id : std::uint64_t { none = 0 };

struct http_client_options {
    /// Calls beyond so many to one endpoint wait for each other; zero: none wait.
    long connections_per_endpoint = 0;
};

/// A pool of connections and the calls on them. Loop thread only.
class http_client {
public:
    using callback = std::function<void(http_result)>;

    /// The loop must outlive the client, and so must the tracer, which may be null. With a tracer
    /// each call is a span, and its context is sent in the header "traceparent".
    explicit http_client(event_loop& loop, tracer* spans = nullptr,
                         const http_client_options& options = {});
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    /// Ends every call without calling back.
    ~http_client();

    /// Starts a call; the callback runs once, later, unless the call is cancelled.
    call_id start(http_call call, callback done);
    /// Ends a call and closes its connection; no callback. Says whether the request can have
    /// reached the other side. False for a call that has ended.
    bool cancel(call_id call);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace plantaindoor::connection

namespace plantaindoor {

template<>
struct enum_names<connection::transport_fault> {
    static constexpr std::array<enum_name<connection::transport_fault>, 7> table{{
        {connection::transport_fault::none, "none"},
        {connection::transport_fault::connect_failed, "connect-failed"},
        {connection::transport_fault::broken, "broken"},
        {connection::transport_fault::timed_out, "timed-out"},
        {connection::transport_fault::too_long, "too-long"},
        {connection::transport_fault::malformed, "malformed"},
        {connection::transport_fault::rejected, "rejected"},
    }};
};

} // namespace plantaindoor
