// How often something may be read, so that its bytes stay within a share of what control may cost.
#pragma once

#include "plantaindoor/common/table.hpp"
#include "plantaindoor/common/time.hpp"

#include <cstddef>
#include <vector>

namespace plantaindoor::process {

struct reading_pace {
    /// Bounds of the time from the start of one reading to the next.
    milliseconds least{1000};
    milliseconds most{6000};
    /// What readings may cost while the most allows it.
    std::size_t bytes_per_second = 3000;

    /// The time from the start of a reading of that size to the next.
    [[nodiscard]] milliseconds period_after(std::size_t bytes) const;
};

/// The size of the platform's answer with these rows, as JSON in JSON. Thread-safe.
[[nodiscard]] std::size_t answer_bytes(const std::vector<table_row>& rows);

} // namespace plantaindoor::process
