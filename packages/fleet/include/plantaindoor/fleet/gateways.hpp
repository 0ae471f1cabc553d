// Interfaces to the platform's workers and machines. For its store see row_store.hpp.
#pragma once

#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/list_extent.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/job/scheduler.hpp"
#include "plantaindoor/job/worker.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantaindoor::fleet {

/// Increases with each change of the leader; workers refuse orders with a lower token.
using fencing_token = std::uint64_t;

struct worker_address {
    instance_id id;
    /// "10.0.0.1:80".
    std::string address;
};

struct poll_result {
    job::order_answer answer = job::order_answer::unanswered;
    job::worker_report report;
};

/// Sends orders to workers. Each callback runs once, asynchronously. Loop thread only.
class worker_gateway {
public:
    using order_callback = std::function<void(job::order_answer)>;
    using poll_callback = std::function<void(poll_result)>;

    worker_gateway() = default;
    worker_gateway(const worker_gateway&) = delete;
    worker_gateway& operator=(const worker_gateway&) = delete;
    virtual ~worker_gateway() = default;

    virtual void start(const worker_address& to, const job::start_order& order, fencing_token token,
                       order_callback done) = 0;
    virtual void stop(const worker_address& to, const job::stop_order& order, fencing_token token,
                      order_callback done) = 0;
    virtual void throttle(const worker_address& to, const job::throttle_order& order,
                          fencing_token token, order_callback done) = 0;
    virtual void poll(const worker_address& to, const job::poll_order& order, fencing_token token,
                      poll_callback done) = 0;
};

enum class machine_state { up, moving, maintenance, down };

struct machine_info {
    std::string machine;
    service_id pool;
    machine_state state = machine_state::up;
    rack_id rack;
    availability_zone_id zone;
    /// All labels that a step may require, including the rack; they stay with the machine.
    std::vector<std::string> labels;
    /// Its current worker; empty while the machine is not up.
    instance_id worker;
};

enum class machine_answer {
    accepted,
    busy,        ///< the machine is not up, or is leaving
    not_in_wave, ///< the wave doesn't name this machine
    stale_token,
    invalid,    ///< no such machine, or a pool that it may not join
    refused,    ///< nothing was done; try again later
    unanswered, ///< it may have been carried out
};

struct machine_list {
    std::vector<machine_info> machines;
    /// Partial if entries were left out since they couldn't be read.
    list_extent extent = list_extent::complete;
};

/// The leader that orders changes to machines.
struct machine_authority {
    std::string leader;
    fencing_token token = 0;
};

/// Lists, moves and maintains the machines of the pools. Each callback runs once, asynchronously.
/// Loop thread only.
class machine_gateway {
public:
    using list_callback = std::function<void(std::optional<machine_list>)>;
    using machine_callback = std::function<void(machine_answer)>;

    machine_gateway() = default;
    machine_gateway(const machine_gateway&) = delete;
    machine_gateway& operator=(const machine_gateway&) = delete;
    virtual ~machine_gateway() = default;

    /// Reads all machines, page by page.
    virtual void list(list_callback done) = 0;
    virtual void move(const machine_authority& by, const std::string& machine,
                      const service_id& pool, machine_callback done) = 0;
    virtual void maintain(const machine_authority& by, const std::string& machine,
                          std::uint64_t wave, machine_callback done) = 0;
};

} // namespace plantaindoor::fleet

namespace plantaindoor {

template<>
struct enum_names<fleet::machine_state> {
    static constexpr std::array<enum_name<fleet::machine_state>, 4> table{{
        {fleet::machine_state::up, "up"},
        {fleet::machine_state::moving, "moving"},
        {fleet::machine_state::maintenance, "upkeep"},
        {fleet::machine_state::down, "down"},
    }};
};

template<>
struct enum_names<fleet::machine_answer> {
    static constexpr std::array<enum_name<fleet::machine_answer>, 7> table{{
        {fleet::machine_answer::accepted, "accepted"},
        {fleet::machine_answer::busy, "busy"},
        {fleet::machine_answer::not_in_wave, "not-in-wave"},
        {fleet::machine_answer::stale_token, "stale-token"},
        {fleet::machine_answer::invalid, "invalid"},
        {fleet::machine_answer::refused, "refused"},
        {fleet::machine_answer::unanswered, "unanswered"},
    }};
};

} // namespace plantaindoor
