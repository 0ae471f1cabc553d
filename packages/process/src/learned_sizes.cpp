#include "plantaindoor/process/learned_sizes.hpp"

#include <algorithm>
#include <cmath>

namespace plantaindoor::process {

namespace {

/// Corrections stay within these factors, so that one absurd report can't starve or flood a worker.
constexpr double most_size_factor = 8;
constexpr double most_time_factor = 16;
/// A job that used more than expected harms its neighbours at once; one that used less only wastes.
constexpr double weight_of_more = 0.7;

double bounded(double ratio, double most)
{
    return std::clamp(ratio, 1 / most, most);
}

struct sample {
    double used = 0;
    double declared = 0;
    double most = most_size_factor;
    double weight = 0;
    /// Whether the run was whole; a broken one shows only what was needed at least.
    bool whole = false;
};

void learn(double& factor, const sample& seen)
{
    if (!(seen.used > 0 && seen.declared > 0)) {
        return;
    }
    const double ratio = bounded(seen.used / seen.declared, seen.most);
    if (ratio > factor) {
        factor += (ratio - factor) * std::max(seen.weight, weight_of_more);
    }
    else if (seen.whole) {
        factor += (ratio - factor) * seen.weight;
    }
}

} // namespace

void learned_sizes::on_run(const job_spec& spec, const job_size& used, bool finished)
{
    if (spec.kind.empty() || m_options.most_kinds == 0) {
        return;
    }
    const std::pair key(spec.team, spec.kind);
    if (!m_kinds.contains(key) && m_kinds.size() >= m_options.most_kinds) {
        m_kinds.erase(std::ranges::min_element(
            m_kinds, {}, [](const auto& entry) { return entry.second.runs; }));
    }
    learned& kind = m_kinds[key];
    // The first runs count in full: the default factor of 1 is no observation.
    const double weight = std::max(m_options.newest, 1 / static_cast<double>(kind.whole_runs + 1));
    const job_size& said = spec.declared;
    learn(kind.processors, {.used = used.processors,
                            .declared = said.processors,
                            .weight = weight,
                            .whole = finished});
    learn(kind.memory, {.used = static_cast<double>(used.memory_mb),
                        .declared = static_cast<double>(said.memory_mb),
                        .weight = weight,
                        .whole = finished});
    ++kind.runs;
    if (!finished) {
        return;
    }
    ++kind.whole_runs;
    if (used.run_time > milliseconds(0) && said.run_time > milliseconds(0)) {
        const double ratio =
            static_cast<double>(used.run_time.count()) / static_cast<double>(said.run_time.count());
        kind.run_time += (bounded(ratio, most_time_factor) - kind.run_time) * weight;
    }
}

job_size learned_sizes::expected(const job_spec& spec) const
{
    job_size size = spec.declared;
    const auto found = m_kinds.find({spec.team, spec.kind});
    if (found == m_kinds.end()) {
        return size;
    }
    const learned& kind = found->second;
    size.processors *= kind.processors;
    size.memory_mb =
        static_cast<std::uint64_t>(std::ceil(static_cast<double>(size.memory_mb) * kind.memory));
    size.run_time =
        milliseconds(std::llround(static_cast<double>(size.run_time.count()) * kind.run_time));
    return size;
}

} // namespace plantaindoor::process
