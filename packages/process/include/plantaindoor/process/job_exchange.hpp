// Reads the rows that duties share about jobs once a second, and publishes this entry's own.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/process/job_shared_rows.hpp"
#include "plantaindoor/version/change_log.hpp"
#include "plantaindoor/version/rule_facts.hpp"
#include "plantaindoor/version/rule_set.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::process {

struct job_exchange_options {
    event_loop& loop;
    table& rows;
    version::change_log& log;
    milliseconds interval{1000};
    /// Figures from an older reading count as unknown.
    milliseconds longest_age{10000};
};

/// Everything in the options must outlive it. Loop thread only.
class job_exchange {
public:
    explicit job_exchange(const job_exchange_options& options) : m_options(options) {}
    job_exchange(const job_exchange&) = delete;
    job_exchange& operator=(const job_exchange&) = delete;
    ~job_exchange();

    /// Begins to read. Precondition: called once.
    void start();
    /// Reads now, unless a reading is under way.
    void refresh();

    /// What the rule in effect asks, as long as the version in force has that rule.
    [[nodiscard]] job_limits limits() const;
    /// The same as placement takes it. Jobs that were accepted are not refused any more.
    [[nodiscard]] class_limits placement_limits() const;
    /// Over all pools; nothing while it is not known.
    [[nodiscard]] std::optional<version::demand_facts> demand() const;
    /// The quota rows of the newest reading.
    [[nodiscard]] std::vector<table_row> quota_rows() const;
    [[nodiscard]] bool was_read() const { return m_read.has_value(); }

    /// Publishes what the decided action asks, where it differs from what is published.
    void publish(const std::optional<version::compiled_rule>& decided, const row_condition& guard);
    /// Publishes a pool's figures, where they differ.
    void publish(const pool_id& pool, const job_figures& figures, const row_condition& guard);

private:
    void write(const std::string& key, const std::string& value, const row_condition& guard);

    job_exchange_options m_options;
    std::map<std::string, table_row> m_rows;
    std::set<std::string> m_writing;
    std::optional<time_point> m_read;
    bool m_reading = false;
    timer_id m_timer = timer_id::none;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantaindoor::process
