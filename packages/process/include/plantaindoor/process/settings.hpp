// What a process learns from its settings file. docs/SETTINGS.md describes every key.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/connection/endpoint.hpp"
#include "plantaindoor/version/fleet.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::process {

using connection::endpoint;

enum class log_format { human, json };
enum class log_level { debug, info, warning, error };
/// What waves spend least of: neither, spare capacity, or moves.
enum class wave_saving { balanced, buffer, moves };

struct listen_settings {
    endpoint callers;
    endpoint operators;
    endpoint peers;
};

struct limit_settings {
    std::size_t body_bytes = 0;
    std::size_t answer_bytes = 0;
    std::size_t queue_requests = 0;
    std::size_t queue_requests_per_service = 0;
    std::size_t queue_bytes = 0;
};

struct timing_settings {
    milliseconds lease{0};
    milliseconds renew{0};
    milliseconds head_poll{0};
    milliseconds list_poll{0};
    /// The most by which the platform's instance list may be behind the truth.
    milliseconds list_lag{0};
    milliseconds drain_timeout{0};
};

struct attempt_settings {
    std::uint32_t most = 0;
    milliseconds connect_timeout{0};
    /// Share of its time that an idempotent request keeps for later attempts.
    std::uint32_t later_share_percent = 0;
    std::uint32_t retry_burst = 0;
    std::uint32_t retries_per_thousand = 0;
};

struct claim_settings {
    /// Longest wait of a request for its claim.
    milliseconds wait{0};
    /// Claims that wait for a transaction.
    std::size_t queue = 0;
    std::size_t group_rows = 0;
    std::uint32_t transactions_per_second = 0;
    /// Of all entries together.
    std::uint32_t shared_transactions_per_second = 0;
    std::uint32_t rows_per_second = 0;
    std::size_t answer_bytes = 0;
    milliseconds lifetime{0};
    std::size_t sweep_rows = 0;
    milliseconds sweep_period{0};
};

/// Of the pools' duties.
struct wave_settings {
    wave_saving save = wave_saving::balanced;
    /// Only one of these has a service's instances out at a time.
    version::failure_domain one_at_a_time = version::failure_domain::availability_zone;
    std::uint32_t loans_per_pool = 0;
    milliseconds loan_term{0};
    /// A wave is paused when this many of its instances have failed; zero: never.
    std::uint32_t most_failed = 0;
    /// An instance that isn't back from its reboot by then has failed.
    milliseconds return_timeout{0};
    /// An admitted instance that isn't listed for this long has failed.
    milliseconds lost_after{0};
};

struct log_settings {
    log_format format = log_format::human;
    log_level level = log_level::info;
};

struct trace_settings {
    /// Spans kept for /traces.
    std::size_t ring = 0;
    /// Empty: no file is written.
    std::filesystem::path file;
};

struct settings {
    std::string cluster;
    entry_id entry;
    availability_zone_id availability_zone;
    std::string region;
    listen_settings listen;
    /// Empty: the operators' listener is on loopback and asks for no token.
    std::filesystem::path operator_token_file;
    endpoint platform;
    std::vector<endpoint> peers;
    limit_settings limits;
    timing_settings timings;
    attempt_settings attempts;
    claim_settings claims;
    wave_settings waves;
    log_settings logs;
    trace_settings traces;
};

/// One thing that is wrong with a settings file.
struct settings_fault {
    std::string file;
    /// From 1; 0 where the fault is not at one line.
    std::size_t line = 0;
    /// Path of the key, for example "listen.callers".
    std::string path;
    /// The value as written; empty for an absent key.
    std::string value;
    std::string expected;

    friend bool operator==(const settings_fault&, const settings_fault&) = default;
};

/// The file can't be used; lists every fault that it has.
class settings_error : public error {
public:
    explicit settings_error(std::vector<settings_fault> faults);

    [[nodiscard]] const std::vector<settings_fault>& faults() const noexcept { return m_faults; }

private:
    std::vector<settings_fault> m_faults;
};

/// Reads settings from YAML text; `file` only names it in faults. Throws settings_error and nothing
/// else, whatever the text. Thread-safe.
[[nodiscard]] settings parse_settings(std::string_view text, const std::string& file);
/// Reads a file, and checks that the token file can be read. Throws settings_error. Thread-safe.
[[nodiscard]] settings load_settings(const std::filesystem::path& file);

} // namespace plantaindoor::process

namespace plantaindoor {

template<>
struct enum_names<process::log_format> {
    static constexpr std::array<enum_name<process::log_format>, 2> table{{
        {process::log_format::human, "human"},
        {process::log_format::json, "json"},
    }};
};

template<>
struct enum_names<process::wave_saving> {
    static constexpr std::array<enum_name<process::wave_saving>, 3> table{{
        {process::wave_saving::balanced, "balanced"},
        {process::wave_saving::buffer, "buffer"},
        {process::wave_saving::moves, "moves"},
    }};
};

template<>
struct enum_names<process::log_level> {
    static constexpr std::array<enum_name<process::log_level>, 4> table{{
        {process::log_level::debug, "debug"},
        {process::log_level::info, "info"},
        {process::log_level::warning, "warning"},
        {process::log_level::error, "error"},
    }};
};

} // namespace plantaindoor
