// Answers callers' requests about jobs at any entry: from the leader session if this entry leads
// the job's shard, else from the shard's leader, or from the store if the leader can't be reached.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/fleet/job_writer.hpp"
#include "plantaindoor/fleet/leader_session.hpp"
#include "plantaindoor/fleet/peer_client.hpp"
#include "plantaindoor/fleet/row_store.hpp"
#include "plantaindoor/fleet/shard_layout.hpp"
#include "plantaindoor/job/record.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

enum class cancel_outcome { cancelled, no_such_job, not_persisted, unknown };

struct state_answer {
    /// Whether the state could be determined.
    bool available = false;
    /// No value: there is no such job.
    std::optional<job::job_status> state;
};

/// Submits and cancels jobs and reports their state. Loop thread only. Each callback runs once, and
/// if it has a deadline, by then as far as job_writer and the store allow.
class job_request_handler {
public:
    using submit_callback = std::function<void(job_write_outcome)>;
    using cancel_callback = std::function<void(cancel_outcome)>;
    using state_callback = std::function<void(state_answer)>;
    using pending_callback = std::function<void(std::optional<std::size_t>)>;

    /// Everything passed must outlive the handler.
    job_request_handler(event_loop& loop, row_store& store, connection::http_client& client,
                        job_writer& writer);
    job_request_handler(const job_request_handler&) = delete;
    job_request_handler& operator=(const job_request_handler&) = delete;
    ~job_request_handler();

    /// Until the layout is set, no job is accepted and no state is available. Call once.
    void set_layout(std::shared_ptr<const shard_layout> layout);
    /// Sets the session while this entry leads the shard, else null.
    void set_session(shard_number shard, leader_session* session);
    /// Null unless this entry leads the shard and has read its jobs.
    [[nodiscard]] leader_session* ready_session(shard_number shard) const;
    /// The connection to the shard's leader. Requires that the layout is set and has the shard.
    [[nodiscard]] peer_client& leader_of(shard_number shard) { return m_shards[shard].leader; }

    void submit(const job_id& id, const accepted_job& accepted, acceptance_limits limits,
                submit_callback done);
    /// A job that was reported as no_such_job isn't accepted afterwards, for as long as the state
    /// of an ended job is kept.
    void cancel(const std::string& queue, const job_id& id, time_point deadline,
                cancel_callback done);
    void state(const std::string& queue, const job_id& id, state_callback done);
    /// Counts the pending jobs of a queue. No value if a leader can't be asked.
    void pending(const std::string& queue, const pending_callback& done);

private:
    struct shard_access {
        peer_client leader;
        leader_session* session = nullptr;
    };
    /// A job and the shard that owns it.
    struct located_job {
        shard_number shard = 0;
        job_id id;
    };

    [[nodiscard]] located_job locate(const std::string& queue, const job_id& id) const;
    /// Cancels a job that has no rows yet.
    void withdraw(const located_job& job, time_point deadline, cancel_callback done);
    void persist_cancellation(const located_job& job, time_point deadline, cancel_callback done);
    void state_from_store(const located_job& job, state_callback done);
    void state_from_accepted_rows(const located_job& job, state_callback done);
    void pending_in(shard_number shard, const std::string& queue, const pending_callback& done);

    event_loop& m_loop;
    row_store& m_store;
    connection::http_client& m_client;
    job_writer& m_writer;
    std::shared_ptr<bool> m_alive;
    std::shared_ptr<const shard_layout> m_layout;
    std::vector<shard_access> m_shards;
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
