// Claims written as plainly as possible: one map, one key at a time, no table, no groups.
#pragma once

#include "plantaindoor/request/claim_record.hpp"
#include "plantaindoor/request/claim_verdict.hpp"

#include <map>
#include <string>

namespace plantaindoor::request::naive {

struct claim_answer {
    std::string what;
    std::string body;

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

inline claim_answer answer_of(const claim_verdict& verdict)
{
    if (verdict.decision == claim_decision::refused) {
        return {.what = std::string(verdict.why->type())};
    }
    return {.what = std::string(name_of(verdict.decision)), .body = verdict.recorded.body};
}

class claims {
public:
    claim_answer claim(const std::string& key, const std::string& hash)
    {
        const auto found = m_rows.find(key);
        if (found == m_rows.end()) {
            m_rows[key] = {.state = claim_state::claimed, .request_hash = hash};
            return {.what = "granted"};
        }
        claim_record& row = found->second;
        if (row.request_hash != hash) {
            return {.what = "key-reused"};
        }
        switch (row.state) {
        case claim_state::claimed:
            return {.what = "key-in-progress"};
        case claim_state::answered:
            return {.what = "replay", .body = row.answer.body};
        case claim_state::unknown:
            return {.what = "key-outcome-unknown"};
        case claim_state::released:
            break;
        }
        row.state = claim_state::claimed;
        return {.what = "granted"};
    }

    void finish(const std::string& key, claim_state state, const std::string& body)
    {
        m_rows[key].state = state;
        m_rows[key].answer.body = body;
    }

private:
    std::map<std::string, claim_record> m_rows;
};

} // namespace plantaindoor::request::naive
