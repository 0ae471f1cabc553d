// A workspace: a unit of callers that owns jobs, with its limits.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/policy/resources.hpp"

namespace plantaindoor::policy {

struct workspace_policy {
    workspace_id id;
    /// Jobs per second that the workspace may submit before its further jobs rank behind others;
    /// also its weight where workspaces compete for capacity.
    double jobs_per_second = 0;
    /// Upper bound of what the workspace's tasks use on all workers together; a zero amount is
    /// unlimited.
    resources cap;

    friend bool operator==(const workspace_policy&, const workspace_policy&) = default;
};

} // namespace plantaindoor::policy
