// Who holds the control duty: rows in the store, and when an entry may take the duty over.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/fleet/row_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantaindoor::fleet {

/// The row that names the holder. Every write of the holder is conditioned on its version, which
/// is the fencing token too.
struct leader_claim {
    std::string entry;
    /// Where other entries reach the holder: "10.0.0.1:7000".
    std::string peer_address;
    /// Distinguishes two lives of one entry.
    std::string incarnation;
    /// Counts the holders.
    std::uint32_t generation = 0;
    /// The holder has given the duty up by itself.
    bool released = false;

    friend bool operator==(const leader_claim&, const leader_claim&) = default;
};

[[nodiscard]] std::string to_text(const leader_claim& claim);
/// Nothing for text that isn't a claim.
[[nodiscard]] std::optional<leader_claim> parse_leader_claim(std::string_view text);

inline constexpr std::string_view leader_table = "duty";
inline constexpr std::string_view control_partition = "control";

[[nodiscard]] row_address leader_claim_address();
[[nodiscard]] row_address leader_renewal_address();
/// Orders the holder's transactions; in a table that nobody follows.
[[nodiscard]] row_address leader_sequence_address();

struct leader_tracker_options {
    /// A holder that hasn't renewed for so long may be replaced.
    milliseconds lease{2500};
    /// What a holder has left to renew in after the store was away.
    milliseconds store_recovery_grace{900};
    /// Spreads the entries that want the duty; different for each.
    milliseconds delay{0};
};

/// An entry's view of the duty. Deterministic; reads no clock. Not synchronised.
class leader_tracker {
public:
    leader_tracker(leader_tracker_options options, std::string incarnation);

    /// The claim's row as the store has it; absent where there is none.
    void note_claim(std::optional<leader_claim> claim, row_version version, time_point now);
    /// The holder has renewed.
    void note_renewal(time_point now);
    /// The store has answered.
    void note_store_reachable(time_point now);
    /// The store doesn't answer.
    void note_store_unreachable();
    /// The process of this incarnation has ended.
    void note_leader_ended(const std::string& incarnation, time_point now);

    /// Whether the claim has been read at all.
    [[nodiscard]] bool is_claim_known() const noexcept { return m_known; }
    [[nodiscard]] const std::optional<leader_claim>& claim() const noexcept { return m_claim; }
    [[nodiscard]] row_version version() const noexcept { return m_version; }
    /// Whether the claim is this process's own.
    [[nodiscard]] bool is_leader() const;
    /// Whether to try to take the duty now.
    [[nodiscard]] bool may_claim(time_point now) const;

private:
    leader_tracker_options m_options;
    std::string m_incarnation;
    bool m_known = false;
    bool m_store_answers = false;
    std::optional<leader_claim> m_claim;
    row_version m_version = absent;
    time_point m_renewed{};
    /// From when on the duty is vacant for certain.
    std::optional<time_point> m_vacant;
};

} // namespace plantaindoor::fleet
