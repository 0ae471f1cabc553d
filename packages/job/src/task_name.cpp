#include "plantaindoor/job/task_name.hpp"

#include <array>
#include <charconv>

namespace plantaindoor::job {

std::string to_string(const task_name& name)
{
    return name.job.str() + '.' + std::to_string(name.occurrence) + '.' +
           std::to_string(name.step) + '.' + std::to_string(name.index);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    const auto first = text.find('.');
    if (first == std::string_view::npos || first == 0) {
        return std::nullopt;
    }
    std::array<std::uint32_t, 3> numbers{};
    const char* at = text.data() + first;
    const char* const end = text.data() + text.size();
    for (std::uint32_t& number : numbers) {
        if (at == end || *at != '.') {
            return std::nullopt;
        }
        const auto read = std::from_chars(at + 1, end, number);
        if (read.ec != std::errc{}) {
            return std::nullopt;
        }
        at = read.ptr;
    }
    if (at != end) {
        return std::nullopt;
    }
    return task_name{.job = job_id(std::string(text.substr(0, first))),
                     .occurrence = numbers[0],
                     .step = numbers[1],
                     .index = numbers[2]};
}

} // namespace plantaindoor::job
