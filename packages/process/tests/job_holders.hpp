// Holders of a pool's duty over one table and one set of tasks, in virtual time: the first one is
// disturbed at one of its calls, and another goes on.
#pragma once

#include "fakes/fixed_log.hpp"
#include "fakes/memory_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/job_runner.hpp"
#include "platform/task_simulator.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::process {

/// What happens to one call that has an effect.
enum class disturbance {
    none,
    killed_before, ///< the caller ends before the call arrives
    killed_after,  ///< the caller ends after it took effect
    paused,        ///< the caller sleeps past its lease; then the call arrives, and it goes on
    delayed,       ///< the caller is told "unknown"; the call arrives much later
    lost_call,     ///< the caller is told "unknown"; the call never arrives
    lost_reply,    ///< the caller is told "unknown"; the call took effect
    slow_commands, ///< for 40 s commands arrive late, and the caller is told "unknown"
};

struct job_holder;

/// Everything that outlives a holder. Not synchronised.
class job_holders {
public:
    /// Disturbs the `at`-th call with an effect of the first holder, from 0.
    job_holders(disturbance how, std::size_t at);
    job_holders(const job_holders&) = delete;
    job_holders& operator=(const job_holders&) = delete;
    ~job_holders();

    void submit(const std::string& name, milliseconds run_time);
    void cancel(const std::string& name);
    /// Drains the worker: it takes no more jobs, and each holder checkpoints it.
    void drain(const std::string& worker);
    void run_for(milliseconds time);
    /// Gives the duty to nobody, unseen by its holder.
    void take_duty_away();

    /// What was seen against the rules; empty where all was kept.
    [[nodiscard]] const std::vector<std::string>& faults() const { return m_faults; }
    /// The state in which the job is over; nothing while it isn't.
    [[nodiscard]] std::optional<job_state> end_of(const std::string& name) const;
    /// The row in which the job is over, as it is.
    [[nodiscard]] std::string row_of(const std::string& name) const;
    /// Tasks that were begun for a job, by their last state.
    [[nodiscard]] std::vector<task_state> tasks_of(const std::string& name);
    [[nodiscard]] std::size_t rows_left() const;
    /// Whether the disturbance took place.
    [[nodiscard]] bool disturbed() const { return m_disturbed; }
    [[nodiscard]] bool drained() const { return m_drained; }

    fakes::virtual_loop loop;
    fakes::memory_table rows;
    stand_in::task_simulator board;
    fakes::fixed_log log;

private:
    friend struct job_holder;

    void add_holder();
    void take_over();
    void ask_checkpoint();
    void check();
    disturbance next(const job_holder& caller, bool is_command);

    disturbance m_how;
    std::size_t m_at;
    std::size_t m_calls = 0;
    bool m_disturbed = false;
    time_point m_slow_until{};
    bool m_drained = false;
    std::string m_draining;
    std::vector<std::unique_ptr<job_holder>> m_holders;
    std::vector<std::string> m_faults;
};

} // namespace plantaindoor::process
