#include "give_way.hpp"

#include <algorithm>
#include <compare>

namespace plantaindoor::process {

namespace {

/// Lower is cheaper.
struct loss {
    int tier = 0;
    milliseconds unsaved{0};
    /// Distance from the latest possible deadline.
    milliseconds hurry{0};

    friend auto operator<=>(const loss&, const loss&) = default;
};

loss loss_of(const job_outlook& each, wall_time now)
{
    const bool interactive = each.row->spec.work_class == version::priority::interactive;
    return {.tier = interactive ? 2 : (each.hurried ? 1 : 0),
            .unsaved = std::max(milliseconds(0), now - each.row->placed),
            .hurry = wall_time::max() - each.row->spec.deadline.value_or(wall_time::max())};
}

struct priced_job {
    loss price;
    const job_outlook* job = nullptr;
};

/// Empty if the worker can't be freed for it.
std::vector<priced_job> least_set(const occupied_worker& at, const job_size& need, wall_time now)
{
    std::vector<priced_job> leaving;
    leaving.reserve(at.movable.size());
    for (const job_outlook* each : at.movable) {
        leaving.push_back({.price = loss_of(*each, now), .job = each});
    }
    std::ranges::stable_sort(leaving, {}, &priced_job::price);
    worker_room room = at.coming;
    std::size_t taken = 0;
    while (taken < leaving.size() && !room.fits(need)) {
        room.give(leaving[taken].job->need);
        ++taken;
    }
    if (!room.fits(need)) {
        return {};
    }
    leaving.resize(taken);
    // A dearer one may have made some cheaper ones needless, and may itself be so without them.
    for (std::size_t last = leaving.size(); last-- > 0;) {
        worker_room without = room;
        without.take(leaving[last].job->need);
        if (without.fits(need)) {
            room = without;
            leaving.erase(leaving.begin() + static_cast<std::ptrdiff_t>(last));
        }
    }
    return leaving;
}

loss total(const std::vector<priced_job>& leaving)
{
    loss sum;
    for (const priced_job& each : leaving) {
        sum.tier = std::max(sum.tier, each.price.tier);
        sum.unsaved += each.price.unsaved;
        sum.hurry = std::max(sum.hurry, each.price.hurry);
    }
    return sum;
}

} // namespace

give_way_plan plan_give_way(std::span<const occupied_worker> occupied,
                            std::span<const worker> workers, const worker_wish& wish, wall_time now)
{
    give_way_plan best{.worker = occupied.size()};
    loss least;
    for (std::size_t position = 0; position < occupied.size(); ++position) {
        const worker& at = workers[position];
        const bool avoided = wish.avoided != nullptr && wish.avoided->contains(at.row->id);
        if (!at.open || avoided || occupied[position].movable.empty() ||
            !at.whole.fits(wish.need)) {
            continue;
        }
        const std::vector<priced_job> leaving = least_set(occupied[position], wish.need, now);
        if (leaving.empty()) {
            continue;
        }
        const loss cost = total(leaving);
        if (best.leaving.empty() || cost < least) {
            least = cost;
            best = {.worker = position};
            for (const priced_job& each : leaving) {
                best.leaving.push_back(each.job);
            }
        }
    }
    return best;
}

} // namespace plantaindoor::process
