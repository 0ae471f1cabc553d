// Makes accepted and cancelled jobs durable: many at a time, one transaction for each partition at
// a time, and never says that a job was refused when it may have been kept.
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
#include <vector>

namespace plantaindoor::fleet {

enum class job_write_outcome {
    persisted,     ///< durable, now or before
    id_conflict,   ///< another job has this id
    not_persisted, ///< nothing was kept, and nothing will be
    unknown,       ///< it may have been kept, or may yet be
};

struct job_writer_options {
    milliseconds commit_timeout{1300};
    milliseconds initial_retry_delay{30};
    milliseconds max_retry_delay{250};
    /// Requests that wait for the store; more are refused.
    std::size_t max_waiting = 2000;
};

/// Loop thread only.
class job_writer {
public:
    using callback = std::function<void(job_write_outcome)>;

    /// Loop and store must outlive the writer.
    job_writer(event_loop& loop, row_store& store, job_writer_options options);
    job_writer(const job_writer&) = delete;
    job_writer& operator=(const job_writer&) = delete;
    ~job_writer();

    /// Keeps an accepted job. Answers by the deadline.
    void accept(const job_id& id, const accepted_job& accepted, time_point deadline, callback done);
    /// Keeps a job's cancelling. Answers by the deadline.
    void cancel(const job_id& id, time_point deadline, callback done);

private:
    struct item {
        row_address at;
        std::string value;
        time_point deadline{};
        callback done;
        /// An earlier transaction with it has an unknown outcome.
        bool doubtful = false;
    };
    struct partition {
        std::deque<item> queue;
        std::vector<item> sent;
        bool busy = false;
        milliseconds retry_delay{0};
        timer_id timer = timer_id::none;
    };

    void add(item added);
    void send(const std::string& name);
    void finish(const std::string& name, const commit_result& result);
    void settle_conflict(partition& part, const std::vector<stored_row>& present);
    void put_back(partition& part, bool doubtful);
    void wait_and_retry(const std::string& name);
    void expire(const std::string& name);
    void answer(item& answered, job_write_outcome outcome);

    event_loop& m_loop;
    row_store& m_store;
    job_writer_options m_options;
    std::shared_ptr<bool> m_alive;
    std::map<std::string, partition> m_partitions;
    std::size_t m_waiting = 0;
};

} // namespace plantaindoor::fleet

namespace plantaindoor {

template<>
struct enum_names<fleet::job_write_outcome> {
    static constexpr std::array<enum_name<fleet::job_write_outcome>, 4> table{{
        {fleet::job_write_outcome::persisted, "kept"},
        {fleet::job_write_outcome::id_conflict, "differs"},
        {fleet::job_write_outcome::not_persisted, "not-kept"},
        {fleet::job_write_outcome::unknown, "unknown"},
    }};
};

} // namespace plantaindoor
