#include "worker_index.hpp"

#include <algorithm>
#include <span>

namespace plantaindoor::process {

namespace {

/// Sums of processors are not exact.
constexpr double rounding = 1e-6;
/// Equally good workers that are compared for the spread over racks.
constexpr std::size_t most_compared = 32;
constexpr std::size_t most_hopeless = 64;

using enum worker_group;
constexpr std::array plain_order{plain, plain_leaving, accelerated, accelerated_leaving, held};
constexpr std::array accelerated_order{accelerated, accelerated_leaving, held};

std::uint64_t spread_key(std::uint32_t label, std::uint32_t rack)
{
    return (std::uint64_t{label} << 32U) | rack;
}

} // namespace

bool as_large(const job_size& left, const job_size& right)
{
    return left.processors >= right.processors && left.memory_mb >= right.memory_mb &&
           left.accelerators >= right.accelerators;
}

void worker_room::take(const job_size& need)
{
    processors -= need.processors;
    memory_mb -= static_cast<std::int64_t>(need.memory_mb);
    accelerators -= need.accelerators;
    --slots;
}

void worker_room::give(const job_size& need)
{
    processors += need.processors;
    memory_mb += static_cast<std::int64_t>(need.memory_mb);
    accelerators += need.accelerators;
    ++slots;
}

bool worker_room::fits(const job_size& need) const
{
    return need.processors <= processors + rounding && slots > 0 && memory_mb >= 0 &&
           need.memory_mb <= static_cast<std::uint64_t>(memory_mb) &&
           std::int64_t{need.accelerators} <= accelerators;
}

worker_index::worker_index(std::vector<worker>& workers, scarce_resource scarce)
    : m_workers(workers), m_scarce(scarce)
{
    for (std::size_t position = 0; position < workers.size(); ++position) {
        const worker& each = workers[position];
        if (each.open) {
            m_groups.at(static_cast<std::size_t>(each.group)).emplace(key(each.free), position);
        }
    }
}

double worker_index::key(const worker_room& room) const
{
    return m_scarce == scarce_resource::processors ? room.processors
                                                   : static_cast<double>(room.memory_mb);
}

std::uint32_t worker_index::neighbours(std::size_t position, std::uint32_t label) const
{
    const auto found = m_spread.find(spread_key(label, m_workers[position].rack));
    return found == m_spread.end() ? 0 : found->second;
}

std::size_t worker_index::find_in(const std::set<entry>& group, const worker_wish& wish) const
{
    const double least = m_scarce == scarce_resource::processors
                             ? wish.need.processors - rounding
                             : static_cast<double>(wish.need.memory_mb);
    std::size_t best = none();
    std::size_t compared = 0;
    for (auto at = group.lower_bound({least, 0}); at != group.end(); ++at) {
        const auto [room, position] = *at;
        if (best != none() && (room > key(m_workers[best].free) || compared == most_compared)) {
            break;
        }
        const worker& each = m_workers[position];
        const bool avoided = wish.avoided != nullptr && wish.avoided->contains(each.row->id);
        if (avoided || !each.free.fits(wish.need)) {
            continue;
        }
        ++compared;
        if (best == none() || neighbours(position, wish.label) < neighbours(best, wish.label)) {
            best = position;
        }
    }
    return best;
}

std::size_t worker_index::search(const worker_wish& wish) const
{
    const std::span<const worker_group> order =
        wish.need.accelerators > 0 ? std::span<const worker_group>(accelerated_order)
                                   : std::span<const worker_group>(plain_order);
    for (const worker_group each : order) {
        if (each == held && !wish.urgent) {
            continue;
        }
        const auto found = find_in(m_groups.at(static_cast<std::size_t>(each)), wish);
        if (found != none()) {
            return found;
        }
    }
    return none();
}

bool worker_index::known_not_to_fit(const worker_wish& wish) const
{
    const auto smaller = [&](const job_size& each) { return as_large(wish.need, each); };
    // What an urgent job didn't find, no other finds either.
    return std::ranges::any_of(m_hopeless[1], smaller) ||
           (!wish.urgent && std::ranges::any_of(m_hopeless[0], smaller));
}

std::size_t worker_index::find(const worker_wish& wish)
{
    if (known_not_to_fit(wish)) {
        return none();
    }
    const std::size_t found = search(wish);
    std::vector<job_size>& hopeless = m_hopeless.at(wish.urgent ? 1 : 0);
    if (found == none() && wish.avoided == nullptr && hopeless.size() < most_hopeless) {
        std::erase_if(hopeless, [&](const job_size& each) { return as_large(each, wish.need); });
        hopeless.push_back(wish.need);
    }
    return found;
}

void worker_index::take(std::size_t position, const worker_wish& wish)
{
    worker& chosen = m_workers[position];
    auto& group = m_groups.at(static_cast<std::size_t>(chosen.group));
    const bool listed = group.erase({key(chosen.free), position}) > 0;
    chosen.free.take(wish.need);
    if (listed) {
        group.emplace(key(chosen.free), position);
    }
    count(position, wish.label);
}

void worker_index::close(std::size_t position)
{
    worker& chosen = m_workers[position];
    m_groups.at(static_cast<std::size_t>(chosen.group)).erase({key(chosen.free), position});
    chosen.open = false;
}

void worker_index::count(std::size_t position, std::uint32_t label)
{
    ++m_spread[spread_key(label, m_workers[position].rack)];
}

} // namespace plantaindoor::process
