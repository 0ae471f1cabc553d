// One reading of the registration rows and then of the platform's list, for all parts of an entry
// that ask for it, at a pace that keeps its bytes within a share of what control may cost.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/process/reading_pace.hpp"
#include "plantaindoor/process/reading_turns.hpp"
#include "plantaindoor/version/registration_set.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace plantaindoor::process {

/// What a reading gave; the list was asked for after the rows had been answered.
struct membership_answer {
    /// Nothing where the table did not answer, or with rows that can't be decoded.
    std::optional<std::vector<version::registration_row>> rows;
    /// Nothing where the platform did not answer, or where there are no rows.
    std::optional<std::vector<listed_instance>> listed;
};

struct membership_reader_options {
    /// The most, and a failed reading, must stay below the longest pause that a duty's holder may
    /// make between readings.
    reading_pace pace{
        .least = milliseconds(1000), .most = milliseconds(7000), .bytes_per_second = 3000};
};

/// Every caller gets a reading that was begun after its call. Loop thread only; the loop, the table
/// and the list must outlive it.
class membership_reader {
public:
    struct caller {
        /// Runs as soon as the rows are there; may be empty.
        std::function<void(const std::vector<version::registration_row>&)> on_rows;
        /// Runs once, at the reading's end.
        std::function<void(const membership_answer&)> on_answer;
    };

    membership_reader(event_loop& loop, table& rows, instance_list& list,
                      membership_reader_options options = {});
    membership_reader(const membership_reader&) = delete;
    membership_reader& operator=(const membership_reader&) = delete;
    /// Callers that still wait are not called back.
    ~membership_reader() = default;

    void read(caller who);

private:
    template<class Action>
    auto while_alive(Action action);

    void start(std::vector<caller> callers);
    void on_rows(const read_result& rows);
    void deliver(const membership_answer& answer);

    table& m_table;
    instance_list& m_list;
    membership_reader_options m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    /// The callers of the reading that is under way.
    std::vector<caller> m_served;
    reading_turns<caller> m_turns;
};

} // namespace plantaindoor::process
