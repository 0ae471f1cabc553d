// A platform whose machines can be maintained, for tests of a leader's orders.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/fleet/gateways.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::fleet::testing {

struct maintenance_order {
    std::string machine;
    fencing_token token = 0;
};

/// Accepts each order for maintenance a moment later; orders to move are never answered.
class maintained_machines final : public machine_gateway {
public:
    static constexpr milliseconds answer_delay{5};

    explicit maintained_machines(event_loop& loop) : m_loop(loop) {}

    void list(list_callback done) override
    {
        m_loop.call_after(answer_delay, [this, done = std::move(done)] { done(listed); });
    }
    void move(const machine_authority& /*by*/, const std::string& /*machine*/,
              const service_id& /*pool*/, machine_callback /*done*/) override
    {
    }
    void maintain(const machine_authority& by, const std::string& machine, std::uint64_t /*wave*/,
                  machine_callback done) override
    {
        ordered.push_back(machine);
        orders.push_back({machine, by.token});
        m_loop.call_after(answer_delay,
                          [done = std::move(done)] { done(machine_answer::accepted); });
    }

    [[nodiscard]] std::ptrdiff_t count(const std::string& machine) const
    {
        return std::count(ordered.begin(), ordered.end(), machine);
    }

    machine_list listed;
    /// All orders for maintenance, and their machines.
    std::vector<maintenance_order> orders;
    std::vector<std::string> ordered;

private:
    event_loop& m_loop;
};

} // namespace plantaindoor::fleet::testing
