// Follows the log: takes records from the table and from peers in any order, and steps through the
// versions one by one. Pure: no input or output, no clock.
#pragma once

#include "plantaindoor/version/log_rows.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace plantaindoor::version {

/// What to read next to come up to date.
struct log_fetch {
    /// Read this snapshot first, since older records are gone; 0 for none.
    version_number snapshot = 0;
    /// Records to read, both ends included; empty when first > last.
    version_number first = 1;
    version_number last = 0;

    friend bool operator==(const log_fetch&, const log_fetch&) = default;
};

/// The state of following the log. Not synchronised.
class log_follower {
public:
    struct options {
        /// Most records asked for at once, and most kept ahead of a gap.
        std::size_t max_fetch = 200;
        /// Most recent records kept for peers.
        std::size_t max_retained = 1000;
    };

    log_follower() : log_follower(options{}) {}
    explicit log_follower(options limits);

    /// The newest version applied. Never null, never goes back.
    [[nodiscard]] const fleet_ptr& current() const noexcept { return m_current; }

    /// Takes the head as read from the table; an older reading than before changes nothing.
    void on_head(const log_head& head);
    /// Takes a version that a peer has in force.
    void on_heard(version_number version);
    /// Forgets versions that were only heard of: the head, read after that, doesn't have them.
    void forget_heard();
    /// Takes records in any order, from the table or from peers. Old and doubled ones change
    /// nothing; those ahead of a gap wait for it. Returns whether current() stepped.
    bool on_records(std::vector<log_record> records);
    /// Takes a whole version; an older one changes nothing. Returns whether current() stepped.
    bool on_snapshot(fleet whole);

    /// What is missing up to the newest version known of, or nothing.
    [[nodiscard]] std::optional<log_fetch> wanted() const;
    /// Whether every version known of is applied.
    [[nodiscard]] bool caught_up() const noexcept { return m_current->version >= m_newest; }
    /// The newest version known of.
    [[nodiscard]] version_number newest() const noexcept { return m_newest; }
    /// Whether the next record does not fit the present version. It never will: the process's
    /// release doesn't understand the log.
    [[nodiscard]] bool stalled() const noexcept { return m_stalled; }

    /// Consecutive records following `have`, at most `limit`; empty when they are no longer kept.
    [[nodiscard]] std::vector<log_record> records_after(version_number have,
                                                        std::size_t limit) const;
    /// The kept record of a version, or null.
    [[nodiscard]] const log_record* record(version_number version) const;

private:
    bool apply_waiting();
    void retain(log_record record);

    options m_limits;
    fleet_ptr m_current;
    log_head m_head;
    version_number m_newest = 0;
    bool m_stalled = false;
    std::map<version_number, log_record> m_waiting;
    std::map<version_number, log_record> m_retained;
};

} // namespace plantaindoor::version
