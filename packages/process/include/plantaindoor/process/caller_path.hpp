// The path of a caller's request through an entry: read, sent to a target, answered once.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::process {

struct caller_path_options {
    event_loop& loop;
    connection::http_client& client;
    version::change_log& log;
    /// Prefix of request ids, unique for each start of a process.
    std::string id_prefix;
    std::size_t body_limit_bytes = 1U << 20U;
    std::size_t answer_limit_bytes = 8U << 20U;
    /// Why no new work is taken; empty while it is.
    std::function<std::string()> not_serving_reason;
};

/// Owns the requests in progress. Loop thread only; what the options refer to must outlive it.
class caller_path {
public:
    explicit caller_path(caller_path_options options);
    caller_path(const caller_path&) = delete;
    caller_path& operator=(const caller_path&) = delete;
    ~caller_path();

    /// Takes a caller's request and answers it exactly once.
    void handle(connection::http_request request, connection::http_responder respond);
    /// The answer to a body over the limit.
    [[nodiscard]] connection::http_response overflow_answer();
    /// Requests not yet answered.
    [[nodiscard]] std::size_t in_progress() const;
    /// Targets at which a request may be in progress, in order of id.
    [[nodiscard]] std::vector<instance_id> busy_targets() const;

private:
    struct active_request;

    request_id next_id();
    void choose_and_send(const std::shared_ptr<active_request>& current);
    const version::instance* choose(const version::fleet& fleet, const service_id& service);
    void on_result(const std::shared_ptr<active_request>& current, const instance_id& target,
                   connection::http_result result);
    void finish(active_request& current, connection::http_response answer);

    caller_path_options m_options;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_last_choice = 0;
    std::size_t m_in_progress = 0;
    std::map<instance_id, std::uint32_t> m_sent;
};

} // namespace plantaindoor::process
