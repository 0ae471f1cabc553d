// Entries, one table and one counting target, driven step by step: the judge of claims.
#pragma once

#include "fakes/fake_table.hpp"
#include "plantaindoor/request/claim_batcher.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::request {

/// One request with a key, and what became of it.
struct keyed_request {
    std::size_t entry = 0;
    std::string key;
    std::string hash = "h";
    milliseconds time{1000};
    version::priority priority = version::priority::interactive;
    /// How the target meets it.
    claim_state end = claim_state::answered;

    claim_ticket ticket = claim_ticket::none;
    std::vector<claim_verdict> verdicts;
    /// Whether its bytes were sent.
    bool sent = false;
};

class claim_world {
public:
    claim_world(std::size_t entries, const claim_options& options)
    {
        for (std::size_t index = 0; index < entries; ++index) {
            m_entries.push_back(std::make_unique<entry>(options, index));
        }
    }

    /// The index of the request.
    std::size_t add(keyed_request request)
    {
        const std::size_t index = requests.size();
        requests.push_back(std::move(request));
        keyed_request& added = requests.back();
        entry& at = *m_entries[added.entry];
        if (!at.alive) {
            return index;
        }
        added.ticket = at.batcher.add({.row_key = claim_key(service_id("s"), added.key),
                                       .request_hash = added.hash,
                                       .priority = added.priority,
                                       .give_up_at = now.steady + added.time,
                                       .ends_by = now.wall + added.time},
                                      now);
        at.owned.emplace(added.ticket, index);
        step(added.entry);
        return index;
    }

    void step(std::size_t index)
    {
        entry& at = *m_entries[index];
        if (!at.alive) {
            return;
        }
        claim_actions actions = at.batcher.step(now);
        for (claim_transaction& each : actions.transactions) {
            table.transact(
                std::move(each.rows), [this, index, id = each.id](const transact_result& result) {
                    reply(index, [&](claim_batcher& to) { to.transacted(id, result, now); });
                });
        }
        for (claim_read& each : actions.reads) {
            table.read(std::move(each.keys), [this, index, id = each.id](const read_result& rows) {
                reply(index, [&](claim_batcher& to) { to.read_back(id, rows, now); });
            });
        }
        for (claim_verdict& each : actions.verdicts) {
            settle(index, std::move(each));
        }
    }

    /// The oldest transaction that was lost takes effect after all, if it was kept for that.
    void land_one()
    {
        if (!m_late.empty()) {
            table.rows.transact(m_late.front());
            m_late.pop_front();
        }
    }

    /// Sends the oldest granted request of any living entry; false if there is none.
    bool send_one()
    {
        if (m_granted.empty()) {
            return false;
        }
        const std::size_t index = m_granted.front();
        m_granted.pop_front();
        keyed_request& request = requests[index];
        if (!m_entries[request.entry]->alive) {
            return true;
        }
        if (request.end != claim_state::released) {
            request.sent = true;
            ++runs[request.key];
        }
        m_sent.push_back(index);
        return true;
    }

    /// The oldest sent request ends; false if there is none.
    bool end_one()
    {
        if (m_sent.empty()) {
            return false;
        }
        const keyed_request& request = requests[m_sent.front()];
        m_sent.pop_front();
        entry& at = *m_entries[request.entry];
        if (at.alive) {
            at.batcher.finish(request.ticket,
                              {.state = request.end,
                               .answer = {.status = 200, .body = "answer to " + request.key}},
                              now);
            step(request.entry);
        }
        return true;
    }

    /// One thing that can happen next, in a fixed order; false if nothing but time is left.
    bool advance() { return table.run_one() || send_one() || end_one(); }

    void kill(std::size_t index) { m_entries[index]->alive = false; }

    void pass(milliseconds time)
    {
        now.steady += time;
        now.wall += time;
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            step(index);
        }
    }

    /// Lets everything happen that is due within the time.
    void settle_all(milliseconds time = milliseconds(3000))
    {
        constexpr milliseconds tick{10};
        for (milliseconds passed{0}; passed < time; passed += tick) {
            while (advance()) {
            }
            pass(tick);
        }
        while (advance()) {
        }
    }

    [[nodiscard]] const claim_batcher& batcher(std::size_t index) const
    {
        return m_entries[index]->batcher;
    }

    fakes::fake_table table;
    /// Lost transactions may take effect at land_one(), after their reply.
    bool lost_calls_land_late = false;
    moment now{.steady = time_point(seconds(1000)), .wall = wall_time(seconds(5000))};
    std::vector<keyed_request> requests;
    /// Runs of each key, as the target counts them.
    std::map<std::string, int> runs;

private:
    struct entry {
        entry(claim_options options, std::size_t index)
            : batcher([&] {
                  options.owner_prefix = std::to_string(index);
                  return options;
              }())
        {
        }
        claim_batcher batcher;
        bool alive = true;
        std::map<claim_ticket, std::size_t> owned;
    };

    void keep_late(const table_transaction& rows)
    {
        if (table.fault == fakes::table_fault::lose_call && lost_calls_land_late) {
            m_late.push_back(rows);
        }
    }

    void reply(std::size_t index, const std::function<void(claim_batcher&)>& deliver)
    {
        if (m_entries[index]->alive) {
            deliver(m_entries[index]->batcher);
            step(index);
        }
    }

    void settle(std::size_t index, claim_verdict verdict)
    {
        const std::size_t request = m_entries[index]->owned.at(verdict.ticket);
        if (verdict.decision == claim_decision::granted) {
            m_granted.push_back(request);
        }
        requests[request].verdicts.push_back(std::move(verdict));
    }

    std::vector<std::unique_ptr<entry>> m_entries;
    std::deque<table_transaction> m_late;
    std::deque<std::size_t> m_granted;
    std::deque<std::size_t> m_sent;
};

} // namespace plantaindoor::request
