#include "burst_traffic.hpp"

#include <memory>
#include <utility>

namespace plantaindoor::fleet::testing {

namespace {

constexpr std::uint32_t max_width = 4;
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
        spec->steps.push_back(
            {.count = width, .need = {.cpu_millis = 1000, .memory_mb = 500}, .estimate = run_time});
        static_cast<void>(m_fleet.submit(
            from.interval.service, {.spec = std::move(spec), .workspace = {}, .run_time = run_time},
            from.interval.shard));
        from.due -= double(width * run_time.count());
    }
}

} // namespace plantaindoor::fleet::testing
