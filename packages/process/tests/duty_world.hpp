// A small system in virtual time for tests of the duties: entries with real logs, leases and duty
// runners over one table; requests, reboots and the platform's list are models that check every
// step.
#pragma once

#include "fakes/delayed_table.hpp"
#include "fakes/process_loop.hpp"
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

using fakes::process_loop;

class world;

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
    process_loop loop;
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
