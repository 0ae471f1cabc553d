// Counts the bytes that control costs an entry, for each part of it, shown at /metrics.
#pragma once

#include "plantaindoor/common/metrics.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace plantaindoor::connection {

/// Bytes of one exchange as HTTP carries them, heads included; what is below TCP is not counted.
struct traffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Counts the bytes of each part. Loop thread only; the registry must outlive it.
class traffic_meter {
public:
    explicit traffic_meter(metrics_registry& metrics) : m_metrics(metrics) {}

    /// Adds one exchange to a part: the first segment of a row's key, or the list.
    void add(std::string_view part, const traffic& bytes);

    /// The part that a row's key belongs to: "lease/duty/p1" is in "lease".
    [[nodiscard]] static std::string_view part_of(std::string_view key) noexcept
    {
        return key.substr(0, key.find('/'));
    }

private:
    struct counters {
        metric_counter& sent;
        metric_counter& received;
        metric_counter& exchanges;
    };

    counters& of(std::string_view part);

    metrics_registry& m_metrics;
    std::map<std::string, counters, std::less<>> m_parts;
};

} // namespace plantaindoor::connection
