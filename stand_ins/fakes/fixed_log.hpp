// A change log for unit tests; only the test changes it.
#pragma once

#include "plantaindoor/version/change_log.hpp"

#include <memory>
#include <utility>

namespace plantaindoor::fakes {

/// Holds the one version that the test sets. append() never calls back.
class fixed_log final : public version::change_log {
public:
    explicit fixed_log(version::fleet fleet) { set(std::move(fleet)); }

    void set(version::fleet fleet)
    {
        m_fleet = std::make_shared<const version::fleet>(std::move(fleet));
    }

    [[nodiscard]] version::fleet_ptr current() const override { return m_fleet; }
    void append(version::append_request, append_callback) override {}
    void subscribe(version_callback) override {}

private:
    version::fleet_ptr m_fleet;
};

} // namespace plantaindoor::fakes
