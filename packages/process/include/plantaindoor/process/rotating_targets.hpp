// Targets in turn, without queues or slots: admitted ones of the service, other racks first.
#pragma once

#include "plantaindoor/process/target_source.hpp"
#include "plantaindoor/version/change_log.hpp"

#include <cstdint>
#include <map>

namespace plantaindoor::process {

/// Loop thread only; the log must outlive it.
class rotating_targets final : public target_source {
public:
    explicit rotating_targets(const version::change_log& log) : m_log(log) {}

    request::ticket_id submit(const request::caller_request& request,
                              const request::tried_targets& tried, callback done) override;
    void cancel(request::ticket_id ticket) override;
    void release(const request::target_grant& grant, request::attempt_result result) override;
    [[nodiscard]] std::vector<instance_id> busy_targets() const override;

private:
    [[nodiscard]] const version::instance* choose(const version::fleet& fleet,
                                                  const service_id& service,
                                                  const request::tried_targets& tried);

    const version::change_log& m_log;
    std::uint64_t m_last_ticket = 0;
    std::uint64_t m_last_choice = 0;
    std::map<instance_id, std::uint32_t> m_in_progress;
};

} // namespace plantaindoor::process
