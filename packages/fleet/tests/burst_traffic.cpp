#include "burst_traffic.hpp"

#include <memory>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

constexpr std::uint32_t max_width = 4;
constexpr std::int64_t narrow_millis = 1000;
constexpr std::uint32_t wide_tasks = 3;
constexpr std::int64_t wide_millis = 2400;
constexpr std::uint32_t min_run_time_ms = 500;
constexpr std::uint32_t run_time_range_ms = 500;

} // namespace

void burst_traffic::run_until(milliseconds end)
{
    while (now() < end) {
        for (active_interval& each : m_intervals) {
            if (each.interval.begin <= now() && now() < each.interval.end) {
                each.due += each.interval.load * double(contended_fleet::sample_time.count());
                submit(each);
            }
        }
        m_fleet.run_for(contended_fleet::sample_time);
    }
}

void burst_traffic::submit(active_interval& from)
{
    while (from.due > 0) {
        const std::uint32_t width = 1 + m_fleet.random_below(max_width);
        const milliseconds run_time(min_run_time_ms + m_fleet.random_below(run_time_range_ms));
        auto spec = std::make_shared<job::job_spec>();
        spec->steps.push_back({.count = width,
                               .need = {.cpu_millis = narrow_millis, .memory_mb = 500},
                               .estimate = run_time});
        double work = double(width * run_time.count());
        if (from.interval.has_wide_step) {
            spec->steps.push_back({.count = wide_tasks,
                                   .need = {.cpu_millis = wide_millis, .memory_mb = 500},
                                   .estimate = run_time,
                                   .depends_on = {0}});
            work += double(wide_tasks * run_time.count() * wide_millis) / double(narrow_millis);
        }
        from.due -= work;
        model_job job{.spec = std::move(spec), .workspace = {}, .run_time = run_time};
        static_cast<void>(
            m_fleet.submit(from.interval.service, std::move(job), from.interval.shard));
    }
}

} // namespace plantaindoor::fleet::testing
