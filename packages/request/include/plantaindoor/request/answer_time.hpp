// How long a service's answers take, as far as its recent attempts tell.
#pragma once

#include "plantaindoor/common/time.hpp"

namespace plantaindoor::request {

/// A moving mean. Attempts that ran out of time count with the time that they had, so that a
/// service that turned slow is not cut off for ever. One per service and entry. Not synchronised.
class answer_time {
public:
    void add(nanoseconds taken) { m_mean += (taken - m_mean) / weight; }
    [[nodiscard]] nanoseconds mean() const { return m_mean; }

private:
    static constexpr int weight = 16;

    nanoseconds m_mean{0};
};

} // namespace plantaindoor::request
