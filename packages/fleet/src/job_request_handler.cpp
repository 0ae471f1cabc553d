#include "plantaindoor/fleet/job_request_handler.hpp"

#include "plantaindoor/fleet/job_rows.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace plantaindoor::fleet {

namespace {

constexpr milliseconds read_timeout{700};

std::optional<job::job_state> parse_progress_state(const std::string& progress)
{
    const auto parsed = nlohmann::json::parse(progress, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("state") || !parsed["state"].is_string()) {
        return std::nullopt;
    }
    return parse_enum<job::job_state>(parsed["state"].get<std::string>());
}

/// Selects both rows of a job in the jobs table: the accepted request and the cancellation.
row_query job_rows_query(const job_id& id)
{
    const row_address first = accepted_address(id);
    return {.table = first.table,
            .partition = first.partition,
            .from = first.key,
            .until = cancelled_address(id).key + '\x01',
            .limit = 2};
}

} // namespace

job_request_handler::job_request_handler(event_loop& loop, row_store& store, job_writer& writer,
                                         peer_client& peers)
    : m_loop(loop),
      m_store(store),
      m_writer(writer),
      m_peers(peers),
      m_alive(std::make_shared<bool>(true))
{
}

job_request_handler::~job_request_handler()
{
    *m_alive = false;
}

bool job_request_handler::session_ready() const
{
    return m_session != nullptr && m_session->is_ready();
}

void job_request_handler::submit(const job_id& id, const accepted_job& accepted,
                                 time_point deadline, submit_callback done)
{
    m_writer.accept(id, accepted, deadline,
                    [this, id, accepted, done = std::move(done)](job_write_outcome outcome) {
                        if (outcome == job_write_outcome::persisted && session_ready()) {
                            m_session->submit(id, to_text(accepted));
                        }
                        done(outcome);
                    });
}

void job_request_handler::cancel(const job_id& id, time_point deadline, cancel_callback done)
{
    if (session_ready() && m_session->state_of(id)) {
        persist_cancellation(id, deadline, std::move(done));
        return;
    }
    m_store.read(job_rows_query(id), read_timeout,
                 [this, id, deadline, done = std::move(done),
                  alive = m_alive](const std::optional<row_page>& page) {
                     if (!*alive) {
                         return;
                     }
                     if (!page) {
                         done(cancel_outcome::not_persisted);
                     }
                     else if (page->rows.empty()) {
                         done(cancel_outcome::no_such_job);
                     }
                     else {
                         persist_cancellation(id, deadline, done);
                     }
                 });
}

void job_request_handler::persist_cancellation(const job_id& id, time_point deadline,
                                               cancel_callback done)
{
    m_writer.cancel(id, deadline, [this, id, done = std::move(done)](job_write_outcome outcome) {
        if (outcome == job_write_outcome::persisted && session_ready()) {
            m_session->cancel(id);
        }
        done(outcome == job_write_outcome::persisted       ? cancel_outcome::cancelled
             : outcome == job_write_outcome::not_persisted ? cancel_outcome::not_persisted
                                                           : cancel_outcome::unknown);
    });
}

void job_request_handler::state(const job_id& id, state_callback done)
{
    if (session_ready()) {
        if (const auto state = m_session->state_of(id)) {
            done({.available = true, .state = state});
            return;
        }
    }
    m_peers.state(id, [this, id, done = std::move(done)](std::optional<job::job_state> state) {
        if (state) {
            done({.available = true, .state = state});
        }
        else {
            // The leader may not have read the job from the store yet.
            state_from_store(id, done);
        }
    });
}

void job_request_handler::state_from_store(const job_id& id, state_callback done)
{
    const row_address at = progress_address(id);
    m_store.read(
        {.table = at.table,
         .partition = at.partition,
         .from = at.key,
         .until = at.key + '\x01',
         .limit = 1},
        read_timeout,
        [this, id, done = std::move(done), alive = m_alive](const std::optional<row_page>& page) {
            if (!*alive) {
                return;
            }
            if (!page) {
                done({});
                return;
            }
            const auto state =
                page->rows.empty() ? std::nullopt : parse_progress_state(page->rows.front().value);
            if (state && is_terminal(*state)) {
                done({.available = true, .state = state});
                return;
            }
            state_from_accepted_rows(id, done);
        });
}

void job_request_handler::state_from_accepted_rows(const job_id& id, state_callback done)
{
    m_store.read(job_rows_query(id), read_timeout,
                 [done = std::move(done), alive = m_alive](const std::optional<row_page>& page) {
                     if (!*alive) {
                         return;
                     }
                     if (!page) {
                         done({});
                         return;
                     }
                     if (page->rows.empty()) {
                         done({.available = true, .state = std::nullopt});
                         return;
                     }
                     const bool cancelled =
                         std::any_of(page->rows.begin(), page->rows.end(), [](const auto& row) {
                             return parse_job_row_key(row.at.key).cancelling;
                         });
                     done(
                         {.available = true,
                          .state = cancelled ? job::job_state::cancelled : job::job_state::queued});
                 });
}

void job_request_handler::pending(const std::string& queue, pending_callback done)
{
    if (session_ready()) {
        done(m_session->pending(queue));
        return;
    }
    m_peers.pending(queue, std::move(done));
}

} // namespace plantaindoor::fleet
