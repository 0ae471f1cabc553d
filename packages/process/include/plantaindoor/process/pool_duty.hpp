// The duty of one pool: drains, barriers, stops, reboots, moves and admissions of its instances.
// Everything that must outlive the holder is in the fleet; what is kept here can be lost.
#pragma once

#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/process/drain_barrier.hpp"
#include "plantaindoor/process/wave_planner.hpp"
#include "plantaindoor/version/change_log.hpp"
#include "plantaindoor/version/planned_changes.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plantaindoor::process {

/// What a duty sees at one moment. All of it outlives the call.
struct duty_view {
    time_point now{};
    wall_time wall_now{};
    const version::fleet& whole;
    /// The instances that are in the pool.
    const std::vector<const version::instance*>& members;
    const std::shared_ptr<const version::lost_instances>& lost;
    /// Plans of the waves that are not over, made from the same fleet.
    const std::map<wave_id, wave_plan>& plans;
    const confirmation_set& entries;
};

/// Append to the log under the duty's guard; answer with pool_duty::on_appended().
struct append_changes {
    std::string author;
    std::string reason;
    std::function<std::vector<version::change>(const version::fleet&)> propose;
};

/// Reboot; answer with pool_duty::on_rebooted().
struct reboot_instance {
    version::outage stop;
    operation_guard guard;
};

/// Read the boot count; answer with pool_duty::on_boots().
struct read_boots {
    version::outage outage;
};

/// Checkpoint the instance's tasks; answer with pool_duty::on_checkpointed().
struct checkpoint_tasks {
    version::outage drain;
};

using duty_action =
    std::variant<append_changes, reboot_instance, read_boots, checkpoint_tasks, journal_entry>;

/// One pool's duty as held by one entry: the view in, actions out. Pure; not synchronised.
class pool_duty {
public:
    struct timing {
        milliseconds reboot_retry{5000};
        milliseconds boots_interval{2000};
        /// A boot count read sooner after the reboot was accepted is not believed.
        milliseconds reboot_settle{5000};
        /// An instance that isn't back by then has failed.
        milliseconds return_timeout{900000};
        /// An admitted instance that isn't listed for this long has failed.
        milliseconds lost_after{180000};
        /// How long a loan for a wave or a failure lasts.
        milliseconds loan_term{std::chrono::hours(2)};
        milliseconds journal_interval{30000};
        /// A wave is paused when this many of its instances have failed; zero: never.
        std::uint32_t max_failed_in_wave = 2;
    };

    struct options {
        pool_id pool;
        entry_id self;
        timing times;
        wave_planner planner{wave_planner::options{}};
    };

    explicit pool_duty(options how) : m_options(std::move(how)) {}

    /// Decides what to do now. At most one append is under way at a time.
    [[nodiscard]] std::vector<duty_action> step(const duty_view& view);

    /// Takes in an append's outcome; returns what to journal.
    [[nodiscard]] std::vector<journal_entry> on_appended(version::append_outcome outcome);
    void on_boots(const version::outage& outage, std::optional<std::uint64_t> boots,
                  time_point asked);
    void on_rebooted(const version::outage& stop, operation_outcome outcome, time_point now);
    void on_checkpointed(const version::outage& drain);

    /// The entries that an instance's drain waits for; empty where none is under way.
    [[nodiscard]] std::vector<awaited_entry> awaited(const instance_id& id) const;

private:
    struct work {
        explicit work(drain_barrier::options drain) : barrier(std::move(drain)) {}

        drain_barrier barrier;
        bool checkpoint_asked = false;
        bool checkpointed = false;
        std::optional<std::uint64_t> boots;
        time_point boots_asked{};
        bool reading_boots = false;
        bool rebooting = false;
        bool refused = false;
        std::optional<time_point> reboot_accepted;
        time_point next_reboot{};
        time_point first_seen{};
        time_point last_journal{};
    };

    /// What one step found to append, most urgent first.
    struct findings {
        std::vector<version::outage> ends;
        std::vector<version::outage> admits;
        std::vector<version::outage> fails;
        std::vector<instance_id> returns;
    };
    /// Makes changes for the newest fleet and notes what they do.
    using proposal = std::function<std::vector<version::change>(const version::fleet&,
                                                                std::vector<journal_entry>&)>;

    void forget_ended(const duty_view& view);
    work& work_of(const duty_view& view, const version::instance& subject);
    void step_draining(const duty_view& view, const version::instance& subject, findings& found);
    void step_stopped(const duty_view& view, const version::instance& subject, findings& found);
    void step_admitted(const duty_view& view, const version::instance& subject, findings& found);
    void ask_boots(const duty_view& view, work& state, const version::outage& outage);
    void ask_reboot(const duty_view& view, work& state, const version::outage& stop);
    void report_wait(const duty_view& view, work& state, const version::instance& subject);
    void append_one(const duty_view& view, const findings& found);

    bool append_undrains(const duty_view& view, const findings& found);
    bool append_ends(const duty_view& view, const findings& found);
    bool append_admits(const duty_view& view, const findings& found);
    bool append_fails(const duty_view& view, const findings& found);
    bool append_returns(const duty_view& view, const findings& found);
    bool append_drains(const duty_view& view, const findings& found);
    bool append_loans(const duty_view& view, const findings& found);
    bool append_finished(const duty_view& view, const findings& found);
    void append(const std::string& reason, proposal propose);
    [[nodiscard]] journal_entry entry_for(const duty_view& view, const std::string& action,
                                          std::vector<journal_fact> facts) const;

    options m_options;
    std::map<version::outage, work> m_work;
    std::map<instance_id, time_point> m_lost_since;
    std::map<wave_id, time_point> m_hold_reported;
    std::vector<duty_action> m_actions;
    std::shared_ptr<std::vector<journal_entry>> m_notes;
    bool m_appending = false;
    std::size_t m_first_append = 0;
    std::size_t m_last_append = 0;
};

} // namespace plantaindoor::process
