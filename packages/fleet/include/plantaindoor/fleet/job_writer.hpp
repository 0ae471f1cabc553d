// Writes accepted jobs and cancellations durably, many per transaction and with one transaction per
// partition in progress. Never reports a job as not persisted when it may have been persisted.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/fleet/job_rows.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::fleet {

enum class job_write_outcome {
    persisted,     ///< durable, by this write or an earlier one
    id_conflict,   ///< another job has this id, or a job to be withdrawn was accepted
    withdrawn,     ///< the job was cancelled before it was accepted
    not_persisted, ///< nothing was written, and nothing will be
    unknown,       ///< it may have been written, or may still be
};

struct job_writer_options {
    milliseconds commit_timeout{1300};
    milliseconds initial_retry_delay{30};
    milliseconds max_retry_delay{250};
    /// Maximum number of requests that wait for the store; further ones are refused.
    std::size_t max_waiting = 2000;
};

/// How long it is worth trying to accept a job.
struct acceptance_limits {
    time_point deadline{};
    /// Whether the caller has left, so that nobody waits for the answer; may be empty.
    std::function<bool()> caller_gone;
};

/// Batches writes by partition and retries them until their deadline. Loop thread only.
class job_writer {
public:
    using callback = std::function<void(job_write_outcome)>;

    /// Loop and store must outlive the writer.
    job_writer(event_loop& loop, row_store& store, job_writer_options options);
    job_writer(const job_writer&) = delete;
    job_writer& operator=(const job_writer&) = delete;
    ~job_writer();

    /// Persists an accepted job. Calls `done` once, by the deadline; a transaction or a retry delay
    /// that is in progress then is awaited first. Once the caller has left, it isn't tried again.
    void accept(shard_number shard, const job_id& id, const accepted_job& accepted,
                acceptance_limits limits, callback done);
    /// Persists that a job without rows was cancelled, so that it can't be accepted any more. Calls
    /// `done` as accept() does.
    void withdraw(shard_number shard, const job_id& id, time_point deadline, callback done);
    /// Persists the cancellation of a job. Calls `done` as accept() does.
    void cancel(shard_number shard, const job_id& id, time_point deadline, callback done);

private:
    /// Table and name of a partition.
    using partition_key = std::pair<std::string, std::string>;

    struct item {
        row_address at;
        std::string value;
        acceptance_limits limits;
        callback done;
        time_point added{};
        /// An earlier transaction that contained this item has an unknown outcome.
        bool outcome_unknown = false;
    };
    struct partition {
        std::deque<item> queue;
        std::vector<item> sent;
        bool busy = false;
        milliseconds retry_delay{0};
        timer_id timer = timer_id::none;
    };

    void add(item new_item);
    /// Starts a transaction with as many queued items as fit, unless one is in progress.
    void send(const partition_key& key);
    void handle_commit(const partition_key& key, const commit_result& result);
    void resolve_conflict(partition& part, const std::vector<stored_row>& present);
    void requeue(partition& part, bool outcome_unknown);
    void schedule_retry(const partition_key& key);
    /// Whether the item's deadline is too close for another retry, or its caller has left.
    [[nodiscard]] bool is_expired(const item& queued) const;
    /// Answers the queued items that have expired.
    void expire(const partition_key& key);
    void answer(item& answered, job_write_outcome outcome);

    event_loop& m_loop;
    row_store& m_store;
    job_writer_options m_options;
    std::shared_ptr<bool> m_alive;
    std::map<partition_key, partition> m_partitions;
    std::size_t m_waiting = 0;
};

} // namespace plantaindoor::fleet

namespace plantaindoor {

template<>
struct enum_names<fleet::job_write_outcome> {
    static constexpr std::array<enum_name<fleet::job_write_outcome>, 5> table{{
        {fleet::job_write_outcome::persisted, "kept"},
        {fleet::job_write_outcome::id_conflict, "differs"},
        {fleet::job_write_outcome::withdrawn, "withdrawn"},
        {fleet::job_write_outcome::not_persisted, "not-kept"},
        {fleet::job_write_outcome::unknown, "unknown"},
    }};
};

} // namespace plantaindoor
