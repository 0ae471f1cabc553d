// Carries membership's decisions out at the table: writes this entry's registration row, reads the
// others' and the platform's list, and deletes rows of processes that are long gone.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/process/membership.hpp"
#include "plantaindoor/process/membership_reader.hpp"
#include "plantaindoor/version/registration_set.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::process {

struct registrar_options {
    entry_id self;
    std::uint64_t incarnation = 0;
    milliseconds tick{50};
    /// Time from one reading of the rows to the next; longer where the reader's pace is slower.
    milliseconds scan_period{2000};
    version::retirement_options retirement;
    /// Targets at which this entry has requests in progress.
    std::function<std::vector<instance_id>()> busy_targets;
    /// Receives the rows of every reading.
    std::function<void(const std::vector<version::registration>&)> on_rows;
};

/// Loop thread only; what it is given must outlive it.
class registrar {
public:
    registrar(event_loop& loop, table& rows, membership_reader& reader, instance_list& list,
              version::table_change_log& log, membership& members, registrar_options options);
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;
    ~registrar();

    /// Begins to register.
    void start();

private:
    template<class Action>
    auto while_alive(Action action);

    void tick();
    void follow_log(const version::fleet_ptr& newest);
    /// Instances planned out in the version in force at which requests are in progress from here.
    [[nodiscard]] std::vector<instance_id> busy() const;
    void write_if_due();
    void read_before_write(registration_write write);
    void on_read(const registration_write& write, const std::vector<table_row>& rows);
    void renew(const registration_write& write);
    void send(const registration_write& write, table_transaction step);
    void on_transacted(const transact_result& result);
    void scan();
    void on_rows(const std::vector<version::registration_row>& rows);
    void on_answer(const membership_answer& answer);
    /// Reads only the platform's list, as the table doesn't answer.
    void read_list();
    /// Tells the membership which entries are listed, and returns them.
    std::set<entry_id> note_listed(const std::vector<listed_instance>& listed);

    event_loop& m_loop;
    table& m_table;
    membership_reader& m_reader;
    instance_list& m_list;
    version::table_change_log& m_log;
    membership& m_members;
    registrar_options m_options;
    std::string m_key;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    version::version_number m_followed = 0;
    /// The row's version; nothing while it has to be read.
    std::optional<row_version> m_row;
    version::registration_retirement m_retirement;
    timer_id m_timer = timer_id::none;
    timer_id m_scan_timer = timer_id::none;
    bool m_reading = false;
};

} // namespace plantaindoor::process
