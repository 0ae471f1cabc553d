#include "plantaindoor/policy/interference.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace plantaindoor::policy {

namespace {

/// Samples older than this count no more: which kinds interfere changes within seconds on some
/// deployments, and pairs that placement keeps apart have to be tried again.
constexpr seconds memory{20};
constexpr milliseconds refresh_period{100};
constexpr milliseconds review_period{200};
/// Newest samples among which an earlier one of the same run is replaced.
constexpr std::size_t source_window = 24;
/// A neighbour that is limited to less than the first share says little about its kind, and one
/// limited to less than the second counts as none.
constexpr double beside_share = 0.2;
constexpr double apart_share = 0.1;
/// Limit the effect of one sample.
constexpr double min_deviation = -1.5;
constexpr double max_deviation = 2;

constexpr std::size_t score_slots = 8192;
/// The score of a pair rises by what its deviations exceed this, up to a limit for one sample.
constexpr double score_drift = 0.06;
constexpr double max_score_step = 0.6;
constexpr double candidate_score = 1;
/// Score of a candidate that has proved harmless.
constexpr double harmless_score = -1;
/// The standard deviation up to which deviations count in full towards a score.
constexpr double precise_deviation = 0.25;

constexpr std::size_t min_begin_samples = 6;
constexpr std::size_t min_keep_samples = 3;
/// Of a known pair, this divided by the square of its effect is the number of newest samples that
/// count: then the effect is several standard errors with tasks uneven by 0.3.
constexpr double keep_factor = 4;
constexpr std::size_t min_kept_window = 8;
/// Samples after which a candidate without effect is dropped.
constexpr std::size_t harmless_samples = 24;
/// A slow worker makes all pairs on it look harmful, so a pair must do so on several workers, and
/// none of these counts for more than half of what the others show.
constexpr std::size_t min_workers = 3;
constexpr std::size_t min_samples_of_worker = 2;
/// Part of the samples that is left out at either end.
constexpr std::size_t trim_divisor = 8;
const double begin_effect = std::log(1.1);
const double end_effect = std::log(1.05);
/// Weight of the expected variance of samples against their own, which few samples show badly.
constexpr double noise_samples = 12;
/// Standard errors at which a pair begins and ceases to count. Many pairs are reviewed again and
/// again, so 3 would accuse some by chance. Where estimates are compared instead of tasks of one
/// step, samples depend on each other by way of the kind's mean: there, 4 gave 60 false begins and
/// ends in 2,000 s of 100 pairs.
constexpr double begin_certainty = 4.5;
constexpr double begin_certainty_imprecise = 6;
constexpr double precise_variance = 0.1;
constexpr double imprecise_variance = 0.3;
/// Imprecise samples are left out where at least a third are precise, which raise this balance by
/// 2 up to the upper limit while the others lower it by 1.
constexpr int balance_precise_enough = 12;
constexpr int max_balance = 40;
constexpr double end_certainty = 2;

std::uint64_t pair_key(kind_key slowed, kind_key slowing) noexcept
{
    std::uint64_t mixed = slowed * 0x9e3779b97f4a7c15 ^ (slowing + 0x632be59bd9b4e019);
    mixed ^= mixed >> 32U;
    mixed *= 0xd6e8feb86659fd93;
    return mixed ^ (mixed >> 29U);
}

double share_of(std::span<const neighbour> beside, kind_key kind) noexcept
{
    const auto found = std::find_if(beside.begin(), beside.end(),
                                    [&](const neighbour& each) { return each.kind == kind; });
    return found == beside.end() ? 0 : found->share;
}

double certainty_needed(double variance) noexcept
{
    return begin_certainty +
           (begin_certainty_imprecise - begin_certainty) *
               std::clamp((variance - precise_variance) / (imprecise_variance - precise_variance),
                          0.0, 1.0);
}

/// Mean and variance of one side of a pair.
struct moments {
    double mean = 0;
    double variance = 0;
    std::size_t count = 0;
};

moments moments_of(std::vector<double>& values, double noise)
{
    std::sort(values.begin(), values.end());
    const auto trimmed = static_cast<std::ptrdiff_t>(values.size() / trim_divisor);
    const auto first = values.begin() + trimmed;
    const auto last = values.end() - trimmed;
    moments result{.count = values.size()};
    for (auto at = first; at != last; ++at) {
        result.mean += *at;
    }
    result.mean /= double(last - first);
    for (const double each : values) {
        result.variance += (each - result.mean) * (each - result.mean);
    }
    result.variance =
        (result.variance + noise * noise_samples) / (double(values.size()) + noise_samples);
    return result;
}

} // namespace

interference::interference() : m_scores(score_slots) {}

void interference::series::add(const entry& added)
{
    // Further samples of a run say little more about its kind: they share the run's own difference
    // from its peers.
    for (std::size_t age = 0; age < std::min(m_count, source_window); ++age) {
        entry& earlier = m_entries[(m_next + capacity - 1 - age) % capacity];
        if (earlier.source == added.source) {
            earlier = added;
            return;
        }
    }
    m_entries[m_next] = added;
    m_next = (m_next + 1) % capacity;
    m_count = std::min(m_count + 1, capacity);
}

const interference::series::entry& interference::series::newest(std::size_t age) const
{
    return m_entries[(m_next + capacity - 1 - age) % capacity];
}

void interference::note(kind_key slowed, worker_key worker, const pace_comparison& compared,
                        std::span<const neighbour> beside, time_point now)
{
    const double deviation = std::clamp(compared.deviation, min_deviation, max_deviation);
    // A slow-down is attributed to the strongest known neighbour alone.
    const pair* strongest_beside = nullptr;
    const auto own = m_by_slowed.find(slowed);
    if (own != m_by_slowed.end()) {
        for (const std::size_t index : own->second) {
            const pair& each = m_pairs[index];
            if (each.known && share_of(beside, each.slowing) > apart_share &&
                (strongest_beside == nullptr || each.effect > strongest_beside->effect)) {
                strongest_beside = &each;
            }
        }
        for (const std::size_t index : own->second) {
            pair& each = m_pairs[index];
            if (strongest_beside != nullptr && strongest_beside != &each) {
                continue;
            }
            const bool precise = compared.variance <= precise_variance;
            each.balance = std::clamp(each.balance + (precise ? 2 : -1), 0, max_balance);
            if (!precise && each.balance >= balance_precise_enough) {
                continue;
            }
            const double share = share_of(beside, each.slowing);
            const series::entry sample{.at = now,
                                       .worker = worker,
                                       .source = compared.source,
                                       .deviation = static_cast<float>(deviation),
                                       .variance = static_cast<float>(compared.variance)};
            if (share >= beside_share) {
                each.beside.add(sample);
                each.last_beside = now;
                review(each, now);
            }
            else if (share <= apart_share) {
                each.apart.add(sample);
            }
        }
    }
    if (strongest_beside == nullptr) {
        for (const neighbour& each : beside) {
            if (each.share >= beside_share) {
                note_score(slowed, each.kind,
                           {.deviation = deviation, .variance = compared.variance}, now);
            }
        }
    }
}

void interference::note_score(kind_key slowed, kind_key slowing, const pace_comparison& compared,
                              time_point now)
{
    const std::uint64_t key = pair_key(slowed, slowing);
    score& slot = m_scores[key % score_slots];
    if (slot.pair != key || now - slot.at > memory) {
        slot = {.pair = key};
    }
    slot.at = now;
    const double scale = std::min(1.0, precise_deviation / std::sqrt(compared.variance));
    const double step = (compared.deviation - score_drift) * scale;
    // Only a candidate that proved harmless starts below zero.
    slot.value = std::max(slot.value + std::clamp(step, -max_score_step, max_score_step),
                          std::min(slot.value, 0.0));
    if (slot.value >= candidate_score) {
        slot.value = 0;
        add_pair(slowed, slowing, now);
    }
}

void interference::add_pair(kind_key slowed, kind_key slowing, time_point now)
{
    const auto own = m_by_slowed.find(slowed);
    if (own != m_by_slowed.end() &&
        std::any_of(own->second.begin(), own->second.end(),
                    [&](std::size_t index) { return m_pairs[index].slowing == slowing; })) {
        return;
    }
    if (m_pairs.size() >= max_pairs) {
        std::optional<std::size_t> oldest;
        for (std::size_t index = 0; index < m_pairs.size(); ++index) {
            if (!m_pairs[index].known &&
                (!oldest || m_pairs[index].last_beside < m_pairs[*oldest].last_beside)) {
                oldest = index;
            }
        }
        remove_pair(*oldest);
    }
    m_by_slowed[slowed].push_back(m_pairs.size());
    m_pairs.push_back({.slowed = slowed, .slowing = slowing, .last_beside = now});
}

void interference::remove_pair(std::size_t index)
{
    const auto unlink = [this](std::size_t removed) {
        const auto own = m_by_slowed.find(m_pairs[removed].slowed);
        std::erase(own->second, removed);
        if (own->second.empty()) {
            m_by_slowed.erase(own);
        }
    };
    unlink(index);
    const std::size_t last = m_pairs.size() - 1;
    if (index != last) {
        unlink(last);
        m_pairs[index] = m_pairs[last];
        m_by_slowed[m_pairs[index].slowed].push_back(index);
    }
    m_pairs.pop_back();
}

void interference::review(pair& reviewed, time_point now)
{
    const std::size_t needed = reviewed.known ? min_keep_samples : min_begin_samples;
    const bool too_few = reviewed.beside.size() < needed || reviewed.apart.size() < needed;
    if (now < reviewed.next_review || (!reviewed.known && too_few)) {
        return;
    }
    reviewed.next_review = now + review_period;
    // A strong pair needs few samples to be told from none, so it is forgotten after few.
    const auto newest = reviewed.known
                            ? std::clamp(static_cast<std::size_t>(
                                             keep_factor / (reviewed.effect * reviewed.effect)),
                                         min_kept_window, series::capacity)
                            : series::capacity;
    std::vector<worker_key> all_workers;
    double noise = 0;
    std::size_t recent = 0;
    const auto collect = [&](const series& side, std::size_t limit,
                             std::vector<worker_key>& workers) {
        std::vector<const series::entry*> entries;
        for (std::size_t age = 0; age < std::min(limit, side.size()); ++age) {
            const series::entry& each = side.newest(age);
            if (now - each.at > memory) {
                break;
            }
            entries.push_back(&each);
            noise += each.variance;
            ++recent;
            for (std::vector<worker_key>* const list : {&workers, &all_workers}) {
                if (std::find(list->begin(), list->end(), each.worker) == list->end()) {
                    list->push_back(each.worker);
                }
            }
        }
        return entries;
    };
    std::vector<worker_key> beside_workers;
    std::vector<worker_key> apart_workers;
    const auto beside_entries = collect(reviewed.beside, newest, beside_workers);
    const auto apart_entries = collect(reviewed.apart, series::capacity, apart_workers);
    std::unordered_map<worker_key, std::size_t> counts;
    std::size_t largest = 0;
    for (const series::entry* const each : beside_entries) {
        largest = std::max(largest, ++counts[each->worker]);
    }
    // Without the minimum, a known pair whose newest samples are all of one worker was forgotten.
    const std::size_t worker_limit =
        std::max(reviewed.known ? min_keep_samples : min_samples_of_worker,
                 (beside_entries.size() - largest) / 2);
    std::vector<double> beside;
    std::unordered_map<worker_key, std::size_t> counted;
    for (const series::entry* const each : beside_entries) {
        if (++counted[each->worker] <= worker_limit) {
            beside.push_back(each->deviation);
        }
    }
    std::vector<double> apart;
    for (const series::entry* const each : apart_entries) {
        apart.push_back(each->deviation);
    }
    interference_change change{.slowed = reviewed.slowed,
                               .slowing = reviewed.slowing,
                               .beside = beside.size(),
                               .apart = apart.size(),
                               .workers = beside_workers.size()};
    reviewed.effect = 0;
    const double typical = noise / double(std::max<std::size_t>(recent, 1));
    if (beside.size() >= needed && apart.size() >= needed) {
        const moments one = moments_of(beside, typical);
        const moments other = moments_of(apart, typical);
        reviewed.effect = one.mean - other.mean;
        change.slow_down = std::exp(reviewed.effect);
        change.certainty = reviewed.effect / std::sqrt(one.variance / double(one.count) +
                                                       other.variance / double(other.count));
    }
    if (reviewed.known) {
        change.known = reviewed.effect >= end_effect && change.certainty >= end_certainty;
        m_partners_changed = true;
    }
    else {
        change.known = beside_workers.size() >= std::min(min_workers, all_workers.size()) &&
                       beside_workers.size() >= 2 && reviewed.effect >= begin_effect &&
                       change.certainty >= certainty_needed(typical) && make_room(reviewed);
    }
    if (change.known != reviewed.known) {
        set_known(reviewed, change);
    }
}

bool interference::make_room(const pair& stronger)
{
    if (m_known < max_known) {
        return true;
    }
    pair* weakest = nullptr;
    for (pair& each : m_pairs) {
        if (each.known && (weakest == nullptr || each.effect < weakest->effect)) {
            weakest = &each;
        }
    }
    if (weakest->effect >= stronger.effect) {
        return false;
    }
    set_known(*weakest, {.slowed = weakest->slowed,
                         .slowing = weakest->slowing,
                         .slow_down = std::exp(weakest->effect)});
    return true;
}

void interference::set_known(pair& changed, interference_change change)
{
    changed.known = change.known;
    m_known += change.known ? 1 : -1;
    m_partners_changed = true;
    if (change.known) {
        // The other candidates' samples include this pair's effect where both were beside.
        for (const std::size_t index : m_by_slowed[changed.slowed]) {
            pair& each = m_pairs[index];
            if (!each.known) {
                each.beside.clear();
                each.apart.clear();
            }
        }
    }
    m_changes.push_back(change);
}

void interference::refresh(time_point now)
{
    if (std::exchange(m_partners_changed, false)) {
        rebuild_partners();
    }
    if (now < m_next_refresh) {
        return;
    }
    m_next_refresh = now + refresh_period;
    for (std::size_t index = 0; index < m_pairs.size();) {
        pair& each = m_pairs[index];
        if (each.known) {
            review(each, now);
        }
        const bool harmless = each.beside.size() >= harmless_samples &&
                              each.apart.size() >= harmless_samples && each.effect < end_effect / 2;
        if (each.known || (!harmless && now - each.last_beside <= memory)) {
            ++index;
            continue;
        }
        const std::uint64_t key = pair_key(each.slowed, each.slowing);
        m_scores[key % score_slots] = {.pair = key, .value = harmless_score, .at = now};
        remove_pair(index);
    }
}

void interference::rebuild_partners()
{
    m_partners.clear();
    const auto partner_of = [this](kind_key kind, kind_key other) -> interference_partner& {
        auto& list = m_partners[kind];
        for (interference_partner& each : list) {
            if (each.other == other) {
                return each;
            }
        }
        return list.emplace_back(interference_partner{.other = other});
    };
    for (const pair& each : m_pairs) {
        if (each.known) {
            partner_of(each.slowed, each.slowing).suffers = each.effect;
            partner_of(each.slowing, each.slowed).inflicts = each.effect;
        }
    }
}

double interference::slow_down(kind_key slowed, kind_key slowing) const
{
    const auto* const known = partners(slowed);
    if (known == nullptr) {
        return 0;
    }
    const auto found =
        std::find_if(known->begin(), known->end(),
                     [&](const interference_partner& each) { return each.other == slowing; });
    return found == known->end() ? 0 : found->suffers;
}

double interference::slow_down(kind_key slowed, std::span<const neighbour> beside) const
{
    double worst = 0;
    if (partners(slowed) != nullptr) {
        for (const neighbour& each : beside) {
            worst = std::max(worst, slow_down(slowed, each.kind) * std::min(each.share, 1.0));
        }
    }
    return worst;
}

const std::vector<interference_partner>* interference::partners(kind_key kind) const
{
    const auto found = m_partners.find(kind);
    return found == m_partners.end() ? nullptr : &found->second;
}

double interference::strongest() const
{
    double worst = 0;
    for (const pair& each : m_pairs) {
        worst = std::max(worst, each.known ? each.effect : 0);
    }
    return std::exp(worst);
}

std::vector<interference_change> interference::take_changes()
{
    return std::exchange(m_changes, {});
}

} // namespace plantaindoor::policy
