// Learns which kinds of tasks slow down which others on the same worker.
#pragma once

#include "plantaindoor/common/time.hpp"
#include "plantaindoor/policy/neighbours.hpp"
#include "plantaindoor/policy/peer_pace.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace plantaindoor::policy {

/// A kind that slows another one down, or is slowed by it; natural logarithms of the slow-downs,
/// 0 where none is known.
struct interference_partner {
    kind_key other = 0;
    double suffers = 0;
    double inflicts = 0;
};

/// A pair begins or ceases to count, with the inputs of the decision.
struct interference_change {
    kind_key slowed = 0;
    kind_key slowing = 0;
    bool known = false;
    double slow_down = 1;
    /// Recent samples of the slowed kind beside the other and apart from it, the number of workers
    /// of the former, and the difference in standard errors.
    std::size_t beside = 0;
    std::size_t apart = 0;
    std::size_t workers = 0;
    double certainty = 0;
};

/// Compares the recent samples of a kind beside another kind with those apart from it. Candidates
/// are found with a score of fixed size for all pairs; only candidates have samples kept, and only
/// the strongest pairs count. Not thread-safe.
class interference {
public:
    /// Upper bounds of the pairs that count and of those that have samples kept.
    static constexpr std::size_t max_known = 128;
    static constexpr std::size_t max_pairs = 384;

    interference();

    /// Records a comparison of a run of `slowed` on a worker with its peers.
    void note(kind_key slowed, worker_key worker, const pace_comparison& compared,
              std::span<const neighbour> beside, time_point now);
    /// Forgets outdated pairs; call about every 100 ms.
    void refresh(time_point now);

    /// Logarithm of the known slow-down of a kind by another; 0 if none is known.
    [[nodiscard]] double slow_down(kind_key slowed, kind_key slowing) const;
    /// The same by the worst of several neighbours, by their shares.
    [[nodiscard]] double slow_down(kind_key slowed, std::span<const neighbour> beside) const;
    /// All known partners of a kind, or nullptr if it has none.
    [[nodiscard]] const std::vector<interference_partner>* partners(kind_key kind) const;
    [[nodiscard]] std::size_t known_count() const noexcept { return m_known; }
    [[nodiscard]] std::size_t pair_count() const noexcept { return m_pairs.size(); }
    /// The greatest known slow-down as a factor; 1 if none is known.
    [[nodiscard]] double strongest() const;
    /// Returns the changes since the last call, in order.
    [[nodiscard]] std::vector<interference_change> take_changes();

private:
    /// The newest samples of a kind on one side of a pair.
    class series {
    public:
        struct entry {
            time_point at{};
            worker_key worker = 0;
            std::uint64_t source = 0;
            float deviation = 0;
            float variance = 0;
        };
        /// A slow-down by 1.3 takes some 60 samples on either side to be shown.
        static constexpr std::size_t capacity = 80;
        void add(const entry& added);
        void clear() { m_count = 0; }
        [[nodiscard]] std::size_t size() const { return m_count; }
        /// Requires age < size(); 0 is the newest.
        [[nodiscard]] const entry& newest(std::size_t age) const;

    private:
        std::array<entry, capacity> m_entries{};
        std::size_t m_count = 0;
        std::size_t m_next = 0;
    };
    struct pair {
        kind_key slowed = 0;
        kind_key slowing = 0;
        series beside;
        series apart;
        /// How far precise samples outweigh imprecise ones.
        int balance = 0;
        bool known = false;
        double effect = 0;
        time_point last_beside{};
        time_point next_review{};
    };
    /// Accumulated evidence of a pair without samples.
    struct score {
        std::uint64_t pair = 0;
        double value = 0;
        time_point at{};
    };

    void note_score(kind_key slowed, kind_key slowing, const pace_comparison& compared,
                    time_point now);
    void add_pair(kind_key slowed, kind_key slowing, time_point now);
    void remove_pair(std::size_t index);
    void review(pair& reviewed, time_point now);
    /// Whether the pair may count, if necessary instead of the weakest one that does.
    [[nodiscard]] bool make_room(const pair& stronger);
    void set_known(pair& changed, interference_change change);
    void rebuild_partners();

    std::vector<pair> m_pairs;
    std::unordered_map<kind_key, std::vector<std::size_t>> m_by_slowed;
    std::unordered_map<kind_key, std::vector<interference_partner>> m_partners;
    std::vector<score> m_scores;
    std::size_t m_known = 0;
    bool m_partners_changed = false;
    std::vector<interference_change> m_changes;
    time_point m_next_refresh{};
};

} // namespace plantaindoor::policy
