#include "plantaindoor/process/recent_journal.hpp"

#include "plantaindoor/process/logging.hpp"

#include <utility>

namespace plantaindoor::process {

namespace {

constexpr log_part journal_log("journal");

} // namespace

void recent_journal::record(journal_entry entry)
{
    std::string line = entry.part + " " + entry.action;
    for (const journal_fact& each : entry.facts) {
        line += " " + each.name + "=" + each.value;
    }
    journal_log.info(line);
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_max_entries) {
        m_entries.pop_front();
    }
}

} // namespace plantaindoor::process
