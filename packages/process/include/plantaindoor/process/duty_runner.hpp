// Runs this entry's share of the pool duties on the event loop: leases, readings of membership and
// list, and the actions that the duties decide on.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/process/duty_lease.hpp"
#include "plantaindoor/process/membership_reader.hpp"
#include "plantaindoor/process/pool_duty.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace plantaindoor::process {

struct duty_runner_options {
    event_loop& loop;
    table& rows;
    version::change_log& log;
    membership_reader& reader;
    instance_control& control;
    journal_sink& journal;
    entry_id self;
    /// Random per start, as in the entry's registration.
    std::uint64_t incarnation = 0;
    /// From the end of one cycle to the next.
    milliseconds interval{1000};
    wave_planner::options waves;
    pool_duty::timing times;
    confirmation_set::options entries;
    milliseconds lease_term{6000};
    /// What readings of the leases may cost; at many duties they are made less often than cycles,
    /// up to two thirds of a term.
    std::size_t lease_bytes_per_second = 3000;
    /// Duties beside the pools', taken and kept in the same way, and run by others.
    std::function<std::set<pool_id>(const version::fleet&)> other_duties;
    /// Checkpoints an instance's tasks and then calls back; empty where there are none.
    std::function<void(const version::outage&, std::function<void()>)> checkpoint;
};

/// Instances of the fleet that the platform's list lacks as live. Thread-safe.
[[nodiscard]] version::lost_instances lost_of(const version::fleet& whole,
                                              const std::vector<listed_instance>& listed);

/// Everything in the options must outlive it. Loop thread only.
class duty_runner {
public:
    explicit duty_runner(duty_runner_options how);
    duty_runner(const duty_runner&) = delete;
    duty_runner& operator=(const duty_runner&) = delete;
    ~duty_runner();

    /// Begins the cycles. Precondition: called once.
    void start();
    /// Ends the cycles and gives the duties back, so that other entries take them at once.
    void stop();

    /// Pools whose duty this entry holds now.
    [[nodiscard]] std::vector<pool_id> held() const;
    /// The newest plan of a wave, made from the version in force here. Throws not_found_error.
    [[nodiscard]] wave_plan plan_of(const wave_id& id) const;
    /// Instances that the platform's newest list lacks as live.
    [[nodiscard]] const version::lost_instances& lost() const { return *m_lost; }
    /// The same, or nothing where no recent list is known here.
    [[nodiscard]] std::optional<version::lost_instances> known_lost() const;
    /// Whether the table answered the last reading of the leases.
    [[nodiscard]] bool table_answers() const noexcept { return m_table_answers; }
    /// The condition that every write for the duty must carry; nothing where it is not held.
    [[nodiscard]] std::optional<row_condition> guard_of(const pool_id& duty) const;
    /// Forgets a duty whose guard failed, until the leases are read again.
    void drop(const pool_id& duty);
    /// The entries that the instance's drain waits for here; empty where it is not this entry's.
    [[nodiscard]] std::vector<awaited_entry> awaited(const instance_id& id) const;

private:
    using action = std::function<void()>;

    void cycle();
    void renew();
    [[nodiscard]] bool leases_due() const;
    void scan_leases();
    void run_cycle();
    void on_leases(const read_result& rows, time_point asked);
    void send(const std::vector<duty_leases::request>& requests);
    void scan_entries();
    void on_entries(const membership_answer& answer);
    void run_duties();
    void index_fleet();
    void refresh_plans();
    void step(const pool_id& pool);
    void perform(const pool_id& pool, append_changes what);
    void perform(const pool_id& pool, const reboot_instance& what);
    void perform(const pool_id& pool, const read_boots& what);
    void perform(const pool_id& pool, const checkpoint_tasks& what);
    void perform(const pool_id& pool, journal_entry what);
    [[nodiscard]] pool_duty* duty_of(const pool_id& pool);
    [[nodiscard]] std::set<pool_id> pools() const;
    /// The action, unless this object is gone by then.
    template<class Action>
    [[nodiscard]] auto while_alive(Action run) const;
    void finish_cycle();

    duty_runner_options m_options;
    wave_planner m_planner;
    duty_leases m_leases;
    confirmation_set m_entries;
    std::map<pool_id, pool_duty> m_duties;
    std::shared_ptr<const version::lost_instances> m_lost =
        std::make_shared<version::lost_instances>();
    version::fleet_ptr m_fleet;
    std::map<pool_id, std::vector<const version::instance*>> m_members;
    std::map<wave_id, wave_plan> m_plans;
    timer_id m_timer = timer_id::none;
    std::optional<time_point> m_list_read;
    time_point m_next_leases{};
    bool m_table_answers = true;
    bool m_renewing = false;
    bool m_reading = false;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantaindoor::process
