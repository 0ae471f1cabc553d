#include "contended_fleet_checks.hpp"

#include <catch2/catch.hpp>

#include <numeric>
#include <utility>

namespace plantaindoor::fleet::testing {

std::string waits_of(const contended_fleet& fleet)
{
    std::string text;
    for (std::size_t each = 0; each < fleet.options().services; ++each) {
        const service_id& service = fleet.service(each);
        text += service.str() + ": longest wait " +
                std::to_string(fleet.jobs().longest_wait(service).count()) + " ms, starved " +
                std::to_string(fleet.pools().longest(service).count()) + " ms\n";
    }
    return text;
}

void check_served(contended_fleet& fleet)
{
    const auto& unserved = fleet.jobs().findings();
    INFO(unserved.size() << " jobs unserved, first "
                         << (unserved.empty() ? std::string("none") : to_string(unserved.front())));
    CHECK(unserved.empty());
    for (const std::string& each : fleet.workers().violations()) {
        FAIL_CHECK(each);
    }
    for (const std::string& each : fleet.machines().violations()) {
        FAIL_CHECK(each);
    }
}

void check_pools(const contended_fleet& fleet)
{
    for (const std::string& each : fleet.pools().findings()) {
        FAIL_CHECK(each);
    }
}

std::vector<std::size_t> random_order(contended_fleet& fleet)
{
    std::vector<std::size_t> order(fleet.options().services);
    std::iota(order.begin(), order.end(), std::size_t(0));
    for (std::size_t left = order.size(); left > 1; --left) {
        std::swap(order[left - 1], order[fleet.random_below(static_cast<std::uint32_t>(left))]);
    }
    return order;
}

} // namespace plantaindoor::fleet::testing
