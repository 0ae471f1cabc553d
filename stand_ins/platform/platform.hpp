// The platform stand-in: table, objects, instance list, reboots and tasks over HTTP, with faults.
#pragma once

#include "http_server.hpp"
#include "instance_simulator.hpp"
#include "task_simulator.hpp"

#include "fakes/memory_table.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace plantaindoor::stand_in {

struct platform_options {
    milliseconds list_lag{0};
    milliseconds reboot_time{1000};
};

/// Thread-safe.
class platform {
public:
    explicit platform(const platform_options& options);

    /// No value: an injected fault lost the call or its reply.
    [[nodiscard]] std::optional<http_reply> handle(const http_call& call);

private:
    /// Faults injected into the calls of the part `only`, or of all parts if it is empty.
    struct faults {
        bool down = false;
        milliseconds slow{0};
        std::uint64_t lose_reply = 0;
        std::uint64_t lose_call = 0;
        std::string only;
        /// lose_call and lose_reply are counted down only by calls that have an effect.
        bool effects_only = false;
        /// The instance list is sent without an entity tag, so every read returns it whole.
        bool untagged = false;
    };

    /// The injected fault that a call meets.
    enum class injected_fault { none, refused, reply_lost, call_lost };

    /// Splits "/instances/w1/reboot" into {"instances", "w1", "reboot"}.
    struct route {
        std::string part;
        std::string name;
        std::string verb;
    };

    static route parse_route(const std::string& path);
    static bool has_effect(const http_call& call, const route& to);
    [[nodiscard]] milliseconds injected_delay(const route& to);
    /// Returns the fault to inject into the call. Counts the call and, if it is to be lost, uses up
    /// one of the set lost calls or replies. Admin calls are neither counted nor disturbed.
    [[nodiscard]] injected_fault next_fault(const http_call& call, const route& to);
    [[nodiscard]] http_reply dispatch(const http_call& call, const route& to);

    [[nodiscard]] http_reply on_table(const http_call& call, const route& to);
    [[nodiscard]] http_reply on_objects(const http_call& call, const route& to);
    [[nodiscard]] http_reply on_instances(const http_call& call, const route& to);
    [[nodiscard]] http_reply on_tasks(const http_call& call, const route& to);
    [[nodiscard]] http_reply on_admin(const http_call& call, const route& to);

    void set_faults(const nlohmann::json& in);
    void set_instance(const nlohmann::json& in);
    void set_tasks(const nlohmann::json& in);

    std::mutex m_mutex;
    fakes::memory_table m_table;
    std::map<std::string, std::string> m_objects;
    instance_simulator m_instances;
    task_simulator m_tasks;
    faults m_faults;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace plantaindoor::stand_in
