// Evaluates the rules once a second on the entry that holds their duty, and appends what they
// decide to the log of versions.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/journal.hpp"
#include "plantaindoor/version/change_log.hpp"
#include "plantaindoor/version/rule_actions.hpp"
#include "plantaindoor/version/rule_engine.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::process {

/// The name of the rules' duty among the leases.
[[nodiscard]] pool_id rules_duty();
/// The rules' duty, where the fleet has rules or waves that rules hold. Thread-safe.
[[nodiscard]] std::set<pool_id> duties_of_rules(const version::fleet& whole);

struct rule_runner_options {
    event_loop& loop;
    version::change_log& log;
    journal_sink& journal;
    entry_id self;
    milliseconds interval{1000};
    /// The duty's guard; nothing where this entry doesn't hold it.
    std::function<std::optional<row_condition>()> guard;
    /// Called when an append showed that the duty was lost.
    std::function<void()> drop_guard;
    /// Instances that the platform doesn't list; nothing while that is not known.
    std::function<std::optional<version::lost_instances>()> lost;
    std::function<bool()> table_down;
    /// Nothing while it is not known; may be empty.
    std::function<std::optional<version::demand_facts>()> demand;
    /// Told after each evaluation which rule decides, if any; may be empty.
    std::function<void(const std::optional<version::compiled_rule>&, const row_condition&)>
        on_decided;
};

/// Everything in the options must outlive it. Loop thread only.
class rule_runner {
public:
    explicit rule_runner(rule_runner_options how);
    rule_runner(const rule_runner&) = delete;
    rule_runner& operator=(const rule_runner&) = delete;
    ~rule_runner();

    /// Begins to evaluate. Precondition: called once.
    void start();

    /// The newest decision, while this entry holds the duty.
    [[nodiscard]] const std::optional<version::rule_decision>& decision() const noexcept
    {
        return m_decision;
    }
    /// The facts at this moment, from a reading of the list or without one.
    [[nodiscard]] version::rule_facts
    present_facts(std::optional<version::lost_instances> lost) const;

private:
    /// What an append is to do, and what became of it.
    struct attempt;

    void tick();
    void evaluate();
    void use_rules(const version::fleet& whole);
    void tell_decided() const;
    void act(const version::fleet_ptr& whole, const version::rule_facts& facts);
    [[nodiscard]] std::set<rule_id> cleared() const;
    bool append(const std::shared_ptr<attempt>& what, const version::fleet& whole);
    void on_appended(attempt& what, const version::append_result& result);
    void report_refusal(const attempt& what, const error& refusal);

    rule_runner_options m_options;
    version::rule_engine m_engine;
    std::optional<std::vector<version::rule>> m_used;
    std::optional<version::rule_decision> m_decision;
    std::string m_last_refusal;
    bool m_appending = false;
    timer_id m_timer = timer_id::none;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantaindoor::process
