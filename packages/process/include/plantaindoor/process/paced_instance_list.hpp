// One reading of the platform's list for all parts of an entry that ask for it, at a pace that
// keeps its bytes within a share of what control may cost.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/process/reading_turns.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace plantaindoor::process {

struct paced_instance_list_options {
    /// Bounds of the time from the start of one reading to the next.
    milliseconds least_period{250};
    /// Must stay below the longest pause that a duty's holder may make between readings.
    milliseconds most_period{7000};
    /// What readings may cost.
    std::size_t bytes_per_second = 12'000;
    /// Size of one line of the platform's answer.
    std::size_t bytes_per_line = 52;
};

/// Every caller gets a reading that was begun after its call. Loop thread only; the loop and the
/// inner list must outlive it.
class paced_instance_list final : public instance_list {
public:
    paced_instance_list(event_loop& loop, instance_list& inner,
                        paced_instance_list_options options = {});
    paced_instance_list(const paced_instance_list&) = delete;
    paced_instance_list& operator=(const paced_instance_list&) = delete;
    /// Callers that still wait are not called back.
    ~paced_instance_list() override = default;

    void list(list_callback done) override;

private:
    using reading = std::optional<std::vector<listed_instance>>;

    void read(std::vector<list_callback> callers);
    void deliver(const std::vector<list_callback>& callers, const reading& listed);
    [[nodiscard]] milliseconds period_after(std::size_t lines) const;

    instance_list& m_inner;
    paced_instance_list_options m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    reading_turns<list_callback> m_turns;
};

} // namespace plantaindoor::process
