// Reading the registration rows: whether every entry has confirmed a planned outage, and which rows
// no longer stand for a process that may act. Pure.
#pragma once

#include "plantaindoor/common/table.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/version/registration.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace plantaindoor::version {

/// A registration as read, with its row's version.
struct registration_row {
    registration value;
    row_version version = absent_row;

    friend bool operator==(const registration_row&, const registration_row&) = default;
};

/// Decodes the rows of a scan of registration_prefix; throws decode_error.
[[nodiscard]] std::vector<registration_row> registration_rows(std::span<const table_row> rows);

/// The entries that have not confirmed that the instance, planned out at `state_version`, has no
/// request of theirs in progress and gets none: those with a row that says so, and listed ones
/// without a row renewed lately. Empty: confirmed by all.
///
/// The rows must come from one reading; `listed` from one of the platform's list that was asked for
/// after the rows had arrived; `renewed` from renewal_watch. A row outlives its process, so a
/// process restarted in an outage would be covered by its predecessor's row without the last.
[[nodiscard]] std::vector<entry_id> unconfirmed(std::span<const registration_row> rows,
                                                const std::set<entry_id>& listed,
                                                const std::set<entry_id>& renewed,
                                                const instance_id& instance,
                                                version_number state_version);

/// Tells which entries have renewed a row lately, by the reader's own clock. Not synchronised.
class renewal_watch {
public:
    /// `window` plus the time after which a write can't take effect any more must be shorter than
    /// the list's lag, for which an unregistered entry waits before it serves.
    explicit renewal_watch(milliseconds window = milliseconds(10000)) : m_window(window) {}

    /// Takes a reading asked for and arrived at these times; returns the entries with a row that
    /// was written within the window before its arrival. The first reading shows none.
    std::set<entry_id> on_reading(std::span<const registration_row> rows, time_point asked,
                                  time_point arrived);

private:
    struct seen_row {
        row_version version = absent_row;
        /// The row was written after this.
        std::optional<time_point> written_after;
    };

    milliseconds m_window;
    std::optional<time_point> m_last_asked;
    std::map<std::string, seen_row> m_seen;
};

struct retirement_options {
    /// Longest time after which the platform's list shows a change.
    milliseconds list_lag{30000};
    /// Longest time that a target may still run what a dead entry sent.
    milliseconds longest_request{30000};
};

/// Decides which rows may be deleted: a row that has not been renewed for the list's lag and the
/// longest request's time, while throughout its entry was not listed, or another incarnation of it
/// renewed its own row. Any doubt starts the time anew. Not synchronised.
class registration_retirement {
public:
    explicit registration_retirement(retirement_options options) : m_options(options) {}

    /// Takes one reading of the rows and one of the list, and returns the rows that may be deleted
    /// on condition that they are unchanged.
    std::vector<registration_row> on_reading(std::span<const registration_row> rows,
                                             const std::set<entry_id>& listed, time_point now);
    /// Sets the longest time that a target may still run what a dead entry sent.
    void set_longest_request(milliseconds longest) { m_options.longest_request = longest; }
    /// Takes a gap without readings: what happened meanwhile is unknown.
    void on_gap() { m_suspects.clear(); }

private:
    struct suspect {
        row_version version = absent_row;
        time_point since{};
        /// Not listed in any reading since.
        bool unlisted = true;
        /// Row version of the entry's other incarnations when the list's lag had passed. A late
        /// effect of a dead process's write comes before that; a newer one is a live process's.
        row_version successor = absent_row;
    };

    retirement_options m_options;
    std::map<std::string, suspect> m_suspects;
};

} // namespace plantaindoor::version
