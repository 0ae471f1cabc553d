// The free room of a pool's workers, indexed by the scarcest resource, for best fit without a scan.
#pragma once

#include "plantaindoor/process/job.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::process {

enum class scarce_resource { processors, memory };

/// Whether the first needs at least as much of everything as the second. Thread-safe.
[[nodiscard]] bool as_large(const job_size& left, const job_size& right);

/// What a worker has, or has free; below zero where more was promised than there is.
struct worker_room {
    double processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    /// Jobs.
    std::int64_t slots = 0;

    /// Takes one job of this size.
    void take(const job_size& need);
    /// Gives one job's room back.
    void give(const job_size& need);
    [[nodiscard]] bool fits(const job_size& need) const;
};

/// Which workers are tried first; each job tries the groups that suit it in this order.
enum class worker_group { plain, plain_leaving, accelerated, accelerated_leaving, held };

struct worker {
    const version::instance* row = nullptr;
    worker_room whole;
    worker_room free;
    std::uint32_t rack = 0;
    worker_group group = worker_group::plain;
    /// Closed workers start nothing in this round.
    bool open = true;
};

/// What is asked of the index.
struct worker_wish {
    job_size need;
    /// Of the job's team and kind, for the spread over racks.
    std::uint32_t label = 0;
    /// Whether the workers held back may be used.
    bool urgent = false;
    /// Workers that the job must not go to; none if null.
    const std::set<instance_id>* avoided = nullptr;
};

/// Not synchronised.
class worker_index {
public:
    /// In a round's workers nothing but `free` and `open` changes, and only through this class.
    worker_index(std::vector<worker>& workers, scarce_resource scarce);

    /// The position of the worker with the least room left of those that fit; none: its size.
    [[nodiscard]] std::size_t find(const worker_wish& wish);
    void take(std::size_t position, const worker_wish& wish);
    /// Starts nothing more there.
    void close(std::size_t position);
    /// Counts a job that is there already, for the spread.
    void count(std::size_t position, std::uint32_t label);
    [[nodiscard]] std::size_t none() const { return m_workers.size(); }

private:
    using entry = std::pair<double, std::size_t>;

    [[nodiscard]] double key(const worker_room& room) const;
    [[nodiscard]] std::size_t find_in(const std::set<entry>& group, const worker_wish& wish) const;
    [[nodiscard]] std::size_t search(const worker_wish& wish) const;
    [[nodiscard]] std::uint32_t neighbours(std::size_t position, std::uint32_t label) const;
    [[nodiscard]] bool known_not_to_fit(const worker_wish& wish) const;

    std::vector<worker>& m_workers;
    scarce_resource m_scarce;
    std::array<std::set<entry>, 5> m_groups;
    /// By label and rack.
    std::unordered_map<std::uint64_t, std::uint32_t> m_spread;
    /// Sizes that fitted nowhere; room only shrinks, so neither does anything as large. The first
    /// of jobs that may not use what is held back, the second of urgent ones.
    std::array<std::vector<job_size>, 2> m_hopeless;
};

} // namespace plantaindoor::process
