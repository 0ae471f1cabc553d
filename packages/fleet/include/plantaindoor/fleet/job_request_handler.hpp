// Answers callers' requests about jobs at any entry: from the leader session if this entry is the
// leader, else from the leader, or from the store if the leader can't be reached.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/fleet/job_writer.hpp"
#include "plantaindoor/fleet/leader_session.hpp"
#include "plantaindoor/fleet/peer_client.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/job/record.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantaindoor::fleet {

enum class cancel_outcome { cancelled, no_such_job, not_persisted, unknown };

struct state_answer {
    /// Whether the state could be determined.
    bool available = false;
    /// No value: there is no such job.
    std::optional<job::job_state> state;
};

/// Submits and cancels jobs and reports their state. Loop thread only. Each callback runs once, and
/// if it has a deadline, by then as far as job_writer and the store allow.
class job_request_handler {
public:
    using submit_callback = std::function<void(job_write_outcome)>;
    using cancel_callback = std::function<void(cancel_outcome)>;
    using state_callback = std::function<void(state_answer)>;
    using pending_callback = std::function<void(std::optional<std::size_t>)>;

    job_request_handler(event_loop& loop, row_store& store, job_writer& writer, peer_client& peers);
    job_request_handler(const job_request_handler&) = delete;
    job_request_handler& operator=(const job_request_handler&) = delete;
    ~job_request_handler();

    /// Sets the session while this entry is the leader, else null.
    void set_session(leader_session* session) noexcept { m_session = session; }

    void submit(const job_id& id, const accepted_job& accepted, time_point deadline,
                submit_callback done);
    void cancel(const job_id& id, time_point deadline, cancel_callback done);
    void state(const job_id& id, state_callback done);
    /// Counts the pending jobs of a queue. No value if the leader can't be asked.
    void pending(const std::string& queue, pending_callback done);

private:
    void persist_cancellation(const job_id& id, time_point deadline, cancel_callback done);
    void state_from_store(const job_id& id, state_callback done);
    void state_from_accepted_rows(const job_id& id, state_callback done);
    [[nodiscard]] bool session_ready() const;

    event_loop& m_loop;
    row_store& m_store;
    job_writer& m_writer;
    peer_client& m_peers;
    std::shared_ptr<bool> m_alive;
    leader_session* m_session = nullptr;
};

} // namespace plantaindoor::fleet

namespace plantaindoor {

template<>
struct enum_names<fleet::cancel_outcome> {
    static constexpr std::array<enum_name<fleet::cancel_outcome>, 4> table{{
        {fleet::cancel_outcome::cancelled, "cancelled"},
        {fleet::cancel_outcome::no_such_job, "no-such-job"},
        {fleet::cancel_outcome::not_persisted, "not-kept"},
        {fleet::cancel_outcome::unknown, "unknown"},
    }};
};

} // namespace plantaindoor
