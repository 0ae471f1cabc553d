#include "plantaindoor/process/reading_pace.hpp"

#include <algorithm>

namespace plantaindoor::process {

namespace {

/// Head of the answer, and what surrounds a row's key and value.
constexpr std::size_t head_bytes = 120;
constexpr std::size_t row_bytes = 40;

} // namespace

milliseconds reading_pace::period_after(std::size_t bytes) const
{
    const milliseconds wanted(bytes * 1000 / bytes_per_second);
    return std::clamp(wanted, least, std::max(least, most));
}

std::size_t answer_bytes(const std::vector<table_row>& rows)
{
    std::size_t bytes = head_bytes;
    for (const table_row& each : rows) {
        const auto escaped = std::ranges::count(each.value, '"');
        bytes +=
            row_bytes + each.key.size() + each.value.size() + static_cast<std::size_t>(escaped);
    }
    return bytes;
}

} // namespace plantaindoor::process
