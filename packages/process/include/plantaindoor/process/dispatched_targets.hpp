// Targets by the dispatcher's decisions: queues by class, shares of slots, health. Feeds it with
// versions, the platform's list and the entries' reports, and runs its timer.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/process/target_source.hpp"
#include "plantaindoor/request/dispatcher.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace plantaindoor::process {

struct dispatched_targets_options {
    request::dispatcher_options decisions;
    /// How often the platform's list is read.
    milliseconds list_period{1000};
};

/// Loop thread only; the loop, log and list must outlive it.
class dispatched_targets final : public target_source {
public:
    dispatched_targets(event_loop& loop, version::change_log& log, instance_list& list,
                       const dispatched_targets_options& options);
    dispatched_targets(const dispatched_targets&) = delete;
    dispatched_targets& operator=(const dispatched_targets&) = delete;
    ~dispatched_targets() override;

    /// Begins to follow the log and the platform's list.
    void start();

    request::ticket_id submit(const request::caller_request& request,
                              const request::tried_targets& tried, callback done) override;
    void cancel(request::ticket_id ticket) override;
    void hold(const request::target_grant& grant, request::attempt_result result) override;
    void release(const request::target_grant& grant, request::attempt_result result) override;
    void may_still_run(const instance_id& target, time_point until) override;
    [[nodiscard]] std::vector<instance_id> busy_targets() const override;

    [[nodiscard]] std::vector<request::service_ejections> ejections() const
    {
        return m_dispatcher.ejections();
    }
    /// Replaces the live entries, from their registrations.
    void set_entries(std::vector<entry_id> live);
    /// Takes a peer's demand.
    void hear(const request::demand_report& report);
    /// This entry's demand, to be sent to the peers with every exchange.
    [[nodiscard]] std::vector<request::service_demand> report_demand();

private:
    void read_list();
    void take_list(const std::vector<listed_instance>& listed);
    /// Carries out what the dispatcher decides, until it decides nothing more.
    void carry_out();
    void carry_out_one(request::dispatch_action action);
    void finish(request::ticket_id ticket, target_offer offer);
    void set_timer();

    event_loop& m_loop;
    version::change_log& m_log;
    instance_list& m_list;
    milliseconds m_list_period;
    request::dispatcher m_dispatcher;
    std::unordered_map<request::ticket_id, callback> m_waiting;
    /// When the last request that was given up at a target must have ended there.
    std::map<instance_id, time_point> m_may_still_run;
    bool m_carrying_out = false;
    timer_id m_timer = timer_id::none;
    timer_id m_list_timer = timer_id::none;
};

} // namespace plantaindoor::process
