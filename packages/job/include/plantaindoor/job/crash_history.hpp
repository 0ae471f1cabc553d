// The rules about crashes of workers, as the records of tasks use them.
#pragma once

#include "plantaindoor/policy/crash_history.hpp"

namespace plantaindoor::job {

using policy::crash_batch_time;
using policy::crash_on_start_time;
using policy::crash_suspicion_time;
using policy::is_to_blame;
using policy::isolation_after;
using policy::max_crashes;
using policy::max_explained_crashes;
using policy::most_known_crashes;
using policy::needs_isolation;
using policy::task_crash;

} // namespace plantaindoor::job
