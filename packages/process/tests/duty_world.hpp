// A small system in virtual time for tests of the duties: entries with real logs, leases and duty
// runners over one table; requests, reboots and the platform's list are models that check every
// step.
#pragma once

#include "fakes/delayed_table.hpp"
#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/duty_runner.hpp"
#include "plantaindoor/version/log_rows.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::process::testing {

/// What happens to one write or reboot of an entry.
enum class step_fault {
    none,
    killed_before,
    killed_after,
    paused_before, ///< the entry is frozen past its lease, then the step goes on
    paused_after,
    lost_call,
    lost_reply,
    table_down, ///< the table answers nobody for a while
};

constexpr milliseconds longest_request{1000};
constexpr milliseconds pause_length{9000};

class world;

/// The loop as one process sees it: nothing runs while it is frozen, or once it is dead.
class gated_loop final : public event_loop {
public:
    explicit gated_loop(fakes::virtual_loop& loop) : m_loop(loop) {}

    [[nodiscard]] time_point now() const override { return m_loop.now(); }
    [[nodiscard]] wall_time wall_now() const override { return m_loop.wall_now(); }
    void watch(int, io_interest, io_action) override {}
    void unwatch(int) override {}
    timer_id call_after(nanoseconds delay, action on_time) override
    {
        return m_loop.call_after(delay, [this, run = std::move(on_time)] { enter(run); });
    }
    void cancel(timer_id timer) override { m_loop.cancel(timer); }
    void post(action on_loop) override { call_after(nanoseconds(0), std::move(on_loop)); }

    void freeze_for(nanoseconds time)
    {
        m_frozen = true;
        m_loop.call_after(time, [this] {
            m_frozen = false;
            while (!m_waiting.empty() && !m_frozen) {
                auto next = std::move(m_waiting.front());
                m_waiting.pop_front();
                enter(next);
            }
        });
    }
    void kill() { m_dead = true; }
    [[nodiscard]] bool dead() const { return m_dead; }
    [[nodiscard]] bool frozen() const { return m_frozen; }

private:
    void enter(const action& run)
    {
        if (m_frozen) {
            m_waiting.push_back(run);
        }
        else if (!m_dead) {
            run();
        }
    }

    fakes::virtual_loop& m_loop;
    std::deque<action> m_waiting;
    bool m_frozen = false;
    bool m_dead = false;
};

/// One entry: its log, its duties, its registration row and its requests.
class world_entry final : public table,
                          public instance_list,
                          public instance_control,
                          public journal_sink {
public:
    world_entry(world& all, std::string name, std::uint64_t seed);

    void read(std::vector<std::string> keys, read_callback done) override
    {
        m_table.read(std::move(keys), std::move(done));
    }
    void scan(scan_options options, read_callback done) override
    {
        m_table.scan(std::move(options), std::move(done));
    }
    void transact(table_transaction transaction, transact_callback done) override;
    void list(list_callback done) override;
    void reboot(const instance_id& id, const operation_guard& guard,
                operation_callback done) override;
    void boot_count(const instance_id& id,
                    std::function<void(std::optional<std::uint64_t>)> done) override;
    void record(journal_entry entry) override;

    entry_id id;
    gated_loop loop;
    std::unique_ptr<version::table_change_log> log;
    std::unique_ptr<membership_reader> reader;
    std::unique_ptr<duty_runner> duties;
    /// Requests in progress, by instance.
    std::map<instance_id, int> in_progress;

private:
    /// Runs a step with the fault that is due, if any.
    void faulty_step(const std::function<void(bool lose_reply)>& effect,
                     const std::function<void()>& lost);
    void renew_registration();
    void send_request();

    world& m_world;
    fakes::delayed_table m_table;
    std::size_t m_next_target = 0;
    bool m_renewing = false;
};

struct world_options {
    /// Faults by the step that they strike, counted over all entries' writes and reboots.
    std::map<std::size_t, step_fault> faults;
    /// Time between an operator's drains and undrains of instances; zero for none.
    milliseconds operator_interval{0};
    std::uint64_t seed = 1;
};

class world {
public:
    explicit world(world_options how);

    /// Runs until the wave is over or the time has passed; true if it is over.
    bool run_wave(nanoseconds longest);

    /// What went wrong; empty if nothing did.
    std::vector<std::string> violations;
    std::size_t steps = 0;
    world_options options;
    fakes::virtual_loop loop;
    fakes::memory_table rows;
    std::vector<std::unique_ptr<world_entry>> entries;
    std::vector<journal_entry> journal;
    std::map<instance_id, std::uint64_t> boots;
    std::set<instance_id> down;
    std::set<std::string> operations;
    bool table_down = false;

    void start_reboot(const instance_id& id, const operation_guard& guard);
    /// The platform's list as it was a while ago.
    [[nodiscard]] std::vector<listed_instance> listed() const;
    void violated(std::string what) { violations.push_back(std::move(what)); }
    /// Judges every version accepted since the last call.
    void check_versions();
    version::fleet newest;

private:
    /// Drains, undrains, lends or returns an instance through a live entry.
    void operate();
    void propose(std::function<std::vector<version::change>(const version::fleet&)> changes);
    world_entry& any_live();

    [[nodiscard]] std::vector<listed_instance> listed_now() const;
    /// No two processes may believe to hold a duty at once, also not a frozen one.
    void check_holders();
    void note_list();

    std::size_t m_operations = 0;
    std::deque<std::vector<listed_instance>> m_lists;
};

} // namespace plantaindoor::process::testing
