#include "plantaindoor/policy/crash_history.hpp"

namespace plantaindoor::policy {

bool needs_isolation(const std::vector<task_crash>& crashes) noexcept
{
    return crashes.size() > 1 || (crashes.size() == 1 && crashes.back().on_start);
}

milliseconds isolation_after(const std::vector<task_crash>& crashes) noexcept
{
    constexpr milliseconds short_isolation{500};
    return crashes.size() + 1 < max_crashes ? short_isolation : crash_suspicion_time;
}

bool is_to_blame(const std::vector<task_crash>& crashes) noexcept
{
    if (crashes.size() >= max_crashes) {
        return true;
    }
    if (crashes.size() < 2) {
        return false;
    }
    const task_crash& last = crashes.back();
    return last.alone && last.on_start && crashes[crashes.size() - 2].on_start;
}

std::size_t most_known_crashes(std::uint32_t lost) noexcept
{
    return lost < max_explained_crashes - min_inherited_crashes ? max_explained_crashes - lost
                                                                : min_inherited_crashes;
}

} // namespace plantaindoor::policy
