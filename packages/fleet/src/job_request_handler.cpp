#include "plantaindoor/fleet/job_request_handler.hpp"

#include "plantaindoor/fleet/job_rows.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr milliseconds read_timeout{700};

/// Selects both rows of a job in the jobs table: the accepted request and the cancellation.
row_query job_rows_query(shard_number shard, const job_id& id)
{
    const row_address first = accepted_address(shard, id);
    return {.table = first.table,
            .partition = first.partition,
            .from = first.key,
            .until = cancelled_address(shard, id).key + '\x01',
            .limit = 2};
}

bool has_accepted(const std::vector<stored_row>& job_rows)
{
    return std::any_of(job_rows.begin(), job_rows.end(), [](const stored_row& row) {
        return !parse_job_row_key(row.at.key).cancelling && row.value != withdrawn_row_value;
    });
}

} // namespace

job_request_handler::job_request_handler(event_loop& loop, row_store& store,
                                         connection::http_client& client, job_writer& writer)
    : m_loop(loop),
      m_store(store),
      m_client(client),
      m_writer(writer),
      m_alive(std::make_shared<bool>(true))
{
}

job_request_handler::~job_request_handler()
{
    *m_alive = false;
}

void job_request_handler::set_layout(std::shared_ptr<const shard_layout> layout)
{
    m_layout = std::move(layout);
    for (shard_number shard = 0; shard < m_layout->count(); ++shard) {
        m_shards.push_back({.leader = peer_client(m_loop, m_client, shard)});
    }
}

void job_request_handler::set_session(shard_number shard, leader_session* session)
{
    m_shards[shard].session = session;
}

job_request_handler::located_job job_request_handler::locate(const std::string& queue,
                                                             const job_id& id) const
{
    return {.shard = m_layout->shard_of(queue, id), .id = id};
}

leader_session* job_request_handler::ready_session(shard_number shard) const
{
    leader_session* const session = shard < m_shards.size() ? m_shards[shard].session : nullptr;
    return session != nullptr && session->is_ready() ? session : nullptr;
}

void job_request_handler::submit(const job_id& id, const accepted_job& accepted,
                                 acceptance_limits limits, submit_callback done)
{
    if (!m_layout) {
        done(job_write_outcome::not_persisted);
        return;
    }
    const located_job job = locate(accepted.queue, id);
    m_writer.accept(job.shard, id, accepted, std::move(limits),
                    [this, job, accepted, done = std::move(done)](job_write_outcome outcome) {
                        leader_session* const session = ready_session(job.shard);
                        if (outcome == job_write_outcome::persisted && session != nullptr) {
                            session->submit(job.id, to_text(accepted));
                        }
                        done(outcome);
                    });
}

void job_request_handler::cancel(const std::string& queue, const job_id& id, time_point deadline,
                                 cancel_callback done)
{
    if (!m_layout) {
        done(cancel_outcome::not_persisted);
        return;
    }
    const located_job job = locate(queue, id);
    leader_session* const session = ready_session(job.shard);
    if (session != nullptr && session->state_of(id)) {
        persist_cancellation(job, deadline, std::move(done));
        return;
    }
    m_store.read(job_rows_query(job.shard, id), read_timeout,
                 [this, job, deadline, done = std::move(done),
                  alive = m_alive](const std::optional<row_page>& page) {
                     if (!*alive) {
                         return;
                     }
                     if (!page) {
                         done(cancel_outcome::not_persisted);
                     }
                     else if (has_accepted(page->rows)) {
                         persist_cancellation(job, deadline, done);
                     }
                     else {
                         withdraw(job, deadline, done);
                     }
                 });
}

void job_request_handler::withdraw(const located_job& job, time_point deadline,
                                   cancel_callback done)
{
    // A write that accepts the job may still be retried, or executed late.
    m_writer.withdraw(job.shard, job.id, deadline,
                      [this, job, deadline, done = std::move(done)](job_write_outcome outcome) {
                          if (outcome == job_write_outcome::id_conflict) {
                              persist_cancellation(job, deadline, done);
                              return;
                          }
                          done(outcome == job_write_outcome::persisted ? cancel_outcome::no_such_job
                               : outcome == job_write_outcome::not_persisted
                                   ? cancel_outcome::not_persisted
                                   : cancel_outcome::unknown);
                      });
}

void job_request_handler::persist_cancellation(const located_job& job, time_point deadline,
                                               cancel_callback done)
{
    m_writer.cancel(job.shard, job.id, deadline,
                    [this, job, done = std::move(done)](job_write_outcome outcome) {
                        leader_session* const session = ready_session(job.shard);
                        if (outcome == job_write_outcome::persisted && session != nullptr) {
                            session->cancel(job.id);
                        }
                        done(outcome == job_write_outcome::persisted ? cancel_outcome::cancelled
                             : outcome == job_write_outcome::not_persisted
                                 ? cancel_outcome::not_persisted
                                 : cancel_outcome::unknown);
                    });
}

void job_request_handler::state(const std::string& queue, const job_id& id, state_callback done)
{
    if (!m_layout) {
        done({});
        return;
    }
    const located_job job = locate(queue, id);
    if (leader_session* const session = ready_session(job.shard); session != nullptr) {
        if (const auto state = session->state_of(id)) {
            done({.available = true, .state = state});
            return;
        }
    }
    m_shards[job.shard].leader.state(
        id, [this, job, done = std::move(done)](std::optional<job::job_status> state) {
            if (state) {
                done({.available = true, .state = state});
            }
            else {
                // The leader may not have read the job from the store yet.
                state_from_store(job, done);
            }
        });
}

void job_request_handler::state_from_store(const located_job& job, state_callback done)
{
    const row_address at = progress_address(job.shard, job.id);
    m_store.read(
        {.table = at.table,
         .partition = at.partition,
         .from = at.key,
         .until = at.key + '\x01',
         .limit = 1},
        read_timeout,
        [this, job, done = std::move(done), alive = m_alive](const std::optional<row_page>& page) {
            if (!*alive) {
                return;
            }
            if (!page) {
                done({});
                return;
            }
            const auto state = page->rows.empty()
                                   ? std::nullopt
                                   : job::status_of_progress(page->rows.front().value);
            if (state && is_terminal(state->state)) {
                done({.available = true, .state = state});
                return;
            }
            state_from_accepted_rows(job, done);
        });
}

void job_request_handler::state_from_accepted_rows(const located_job& job, state_callback done)
{
    m_store.read(job_rows_query(job.shard, job.id), read_timeout,
                 [done = std::move(done), alive = m_alive](const std::optional<row_page>& page) {
                     if (!*alive) {
                         return;
                     }
                     if (!page) {
                         done({});
                         return;
                     }
                     if (!has_accepted(page->rows)) {
                         done({.available = true, .state = std::nullopt});
                         return;
                     }
                     const bool cancelled =
                         std::any_of(page->rows.begin(), page->rows.end(), [](const auto& row) {
                             return parse_job_row_key(row.at.key).cancelling;
                         });
                     done({.available = true,
                           .state = job::job_status{.state = cancelled ? job::job_state::cancelled
                                                                       : job::job_state::queued}});
                 });
}

void job_request_handler::pending(const std::string& queue, const pending_callback& done)
{
    if (!m_layout) {
        done(std::nullopt);
        return;
    }
    struct count_so_far {
        std::size_t missing = 0;
        std::optional<std::size_t> jobs = 0;
    };
    const auto counted = std::make_shared<count_so_far>();
    counted->missing = m_shards.size();
    for (shard_number shard = 0; shard < m_layout->count(); ++shard) {
        pending_in(shard, queue, [counted, done](std::optional<std::size_t> jobs) {
            counted->jobs =
                counted->jobs && jobs ? std::optional(*counted->jobs + *jobs) : std::nullopt;
            if (--counted->missing == 0) {
                done(counted->jobs);
            }
        });
    }
}

void job_request_handler::pending_in(shard_number shard, const std::string& queue,
                                     const pending_callback& done)
{
    if (leader_session* const session = ready_session(shard); session != nullptr) {
        done(session->pending(queue));
        return;
    }
    m_shards[shard].leader.pending(queue, done);
}

} // namespace plantaindoor::fleet
