// What the system did and why: one entry for each action taken, printed by `plantainctl journal`.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plantaindoor {

/// One fact that led to an action, for example {"instance", "w17"}.
struct journal_fact {
    std::string name;
    std::string value;

    friend bool operator==(const journal_fact&, const journal_fact&) = default;
};

/// One action taken by the system.
struct journal_entry {
    wall_time when{};
    /// The entry that acted.
    entry_id actor;
    /// The part that acted: "wave", "rule", "job", "operator", "membership".
    std::string part;
    /// What was done, in kebab case: "instance-drained", "wave-held".
    std::string action;
    /// The configuration version that the action was decided on.
    std::uint64_t version = 0;
    /// The rule that matched, or empty.
    rule_id rule;
    std::vector<journal_fact> facts;
};

/// Receives entries. Implementations keep a bounded ring and write to the table in groups.
class journal_sink {
public:
    journal_sink() = default;
    journal_sink(const journal_sink&) = delete;
    journal_sink& operator=(const journal_sink&) = delete;
    virtual ~journal_sink() = default;

    /// Records an entry. Never blocks. Loop thread only.
    virtual void record(journal_entry entry) = 0;
};

} // namespace plantaindoor
