#include "plantaindoor/process/settings.hpp"

#include "settings_reader.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

namespace plantaindoor::process {

namespace {

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;
constexpr std::uint64_t gib = 1024 * mib;
constexpr std::uint64_t minute_ms = 60'000;
constexpr std::uint64_t day_ms = 86'400'000;
/// Twice the longest request that a fleet file may allow.
constexpr std::uint64_t least_claim_lifetime_ms = 7'200'000;

const setting<std::string> cluster_setting{.path = "cluster"};
const setting<entry_id> entry_setting{.path = "entry"};
const setting<availability_zone_id> zone_setting{.path = "availability_zone"};
const setting<std::string> region_setting{.path = "region"};
const setting<endpoint> callers_setting{.path = "listen.callers"};
const setting<endpoint> operators_setting{.path = "listen.operators"};
const setting<endpoint> peers_listen_setting{.path = "listen.peers"};
const setting<std::filesystem::path> token_file_setting{.path = "operator_token_file",
                                                        .fallback = std::filesystem::path()};
const setting<endpoint> platform_setting{.path = "platform.address", .least = 1};
const setting<endpoint> peers_setting{.path = "peers", .least = 1};
const setting<std::uint64_t> body_bytes_setting{
    .path = "limits.body_bytes", .fallback = mib, .least = kib, .most = gib};
const setting<std::uint64_t> answer_bytes_setting{
    .path = "limits.answer_bytes", .fallback = 4 * mib, .least = kib, .most = gib};
const setting<std::uint64_t> queue_requests_setting{
    .path = "limits.queue_requests", .fallback = 1000, .least = 1, .most = 1'000'000};
const setting<std::uint64_t> service_queue_setting{
    .path = "limits.queue_requests_per_service", .fallback = 512, .least = 1, .most = 1'000'000};
const setting<std::uint64_t> queue_bytes_setting{
    .path = "limits.queue_bytes", .fallback = 16 * mib, .least = kib, .most = gib};
const setting<milliseconds> lease_setting{
    .path = "timings.lease_ms", .fallback = milliseconds(6000), .least = 100, .most = day_ms};
const setting<milliseconds> renew_setting{
    .path = "timings.renew_ms", .fallback = milliseconds(1000), .least = 10, .most = day_ms};
const setting<milliseconds> head_poll_setting{
    .path = "timings.head_poll_ms", .fallback = milliseconds(500), .least = 10, .most = day_ms};
const setting<milliseconds> list_poll_setting{
    .path = "timings.list_poll_ms", .fallback = milliseconds(1000), .least = 10, .most = day_ms};
const setting<milliseconds> list_lag_setting{
    .path = "timings.list_lag_ms", .fallback = milliseconds(30000), .least = 0, .most = day_ms};
const setting<milliseconds> drain_timeout_setting{.path = "timings.drain_timeout_ms",
                                                  .fallback = milliseconds(60000),
                                                  .least = 100,
                                                  .most = day_ms};
const setting<std::uint64_t> most_attempts_setting{
    .path = "attempts.most", .fallback = 3, .least = 1, .most = 10};
const setting<milliseconds> connect_timeout_setting{.path = "attempts.connect_timeout_ms",
                                                    .fallback = milliseconds(500),
                                                    .least = 1,
                                                    .most = minute_ms};
const setting<std::uint64_t> later_share_setting{
    .path = "attempts.later_share_percent", .fallback = 50, .least = 0, .most = 90};
const setting<std::uint64_t> retry_burst_setting{
    .path = "attempts.retry_burst", .fallback = 100, .least = 0, .most = 100'000};
const setting<std::uint64_t> retries_setting{
    .path = "attempts.retries_per_thousand", .fallback = 200, .least = 0, .most = 1000};
const setting<milliseconds> claim_wait_setting{
    .path = "claims.wait_ms", .fallback = milliseconds(500), .least = 1, .most = minute_ms};
const setting<std::uint64_t> claim_queue_setting{
    .path = "claims.queue", .fallback = 2000, .least = 1, .most = 1'000'000};
const setting<std::uint64_t> claim_group_setting{
    .path = "claims.group_rows", .fallback = 100, .least = 1, .most = 1000};
const setting<std::uint64_t> claim_rate_setting{
    .path = "claims.transactions_per_second", .fallback = 30, .least = 1, .most = 10'000};
const setting<std::uint64_t> shared_claim_rate_setting{
    .path = "claims.shared_transactions_per_second", .fallback = 210, .least = 1, .most = 100'000};
const setting<std::uint64_t> claim_rows_setting{
    .path = "claims.rows_per_second", .fallback = 3000, .least = 1, .most = 1'000'000};
const setting<std::uint64_t> claim_answer_setting{
    .path = "claims.answer_bytes", .fallback = 4 * kib, .least = 0, .most = mib};
const setting<milliseconds> claim_lifetime_setting{.path = "claims.lifetime_ms",
                                                   .fallback = milliseconds(day_ms),
                                                   .least = least_claim_lifetime_ms,
                                                   .most = 366 * day_ms};
const setting<std::uint64_t> sweep_rows_setting{
    .path = "claims.sweep_rows", .fallback = 200, .least = 1, .most = 1000};
const setting<milliseconds> sweep_period_setting{
    .path = "claims.sweep_period_ms", .fallback = milliseconds(1000), .least = 10, .most = day_ms};
const setting<wave_saving> wave_saving_setting{.path = "waves.save",
                                               .fallback = wave_saving::balanced};
const setting<version::failure_domain> one_at_a_time_setting{
    .path = "waves.one_at_a_time", .fallback = version::failure_domain::availability_zone};
const setting<std::uint64_t> loans_setting{
    .path = "waves.loans_per_pool", .fallback = 2, .least = 0, .most = 1000};
const setting<milliseconds> loan_term_setting{.path = "waves.loan_term_ms",
                                              .fallback = milliseconds(7'200'000),
                                              .least = minute_ms,
                                              .most = 30 * day_ms};
const setting<std::uint64_t> most_failed_setting{
    .path = "waves.most_failed", .fallback = 2, .least = 0, .most = 10'000};
const setting<milliseconds> return_timeout_setting{.path = "waves.return_timeout_ms",
                                                   .fallback = milliseconds(900'000),
                                                   .least = 10'000,
                                                   .most = day_ms};
const setting<milliseconds> lost_after_setting{.path = "waves.lost_after_ms",
                                               .fallback = milliseconds(180'000),
                                               .least = 10'000,
                                               .most = day_ms};
const setting<log_format> format_setting{.path = "logs.format", .fallback = log_format::human};
const setting<log_level> level_setting{.path = "logs.level", .fallback = log_level::info};
const setting<std::uint64_t> ring_setting{
    .path = "traces.ring", .fallback = 2000, .least = 1, .most = 1'000'000};
const setting<std::filesystem::path> trace_file_setting{.path = "traces.file",
                                                        .fallback = std::filesystem::path()};

std::uint32_t small(settings_reader& in, const setting<std::uint64_t>& wanted)
{
    return static_cast<std::uint32_t>(in.get(wanted));
}

attempt_settings read_attempts(settings_reader& in)
{
    return {.most = small(in, most_attempts_setting),
            .connect_timeout = in.get(connect_timeout_setting),
            .later_share_percent = small(in, later_share_setting),
            .retry_burst = small(in, retry_burst_setting),
            .retries_per_thousand = small(in, retries_setting)};
}

claim_settings read_claims(settings_reader& in)
{
    return {.wait = in.get(claim_wait_setting),
            .queue = in.get(claim_queue_setting),
            .group_rows = in.get(claim_group_setting),
            .transactions_per_second = small(in, claim_rate_setting),
            .shared_transactions_per_second = small(in, shared_claim_rate_setting),
            .rows_per_second = small(in, claim_rows_setting),
            .answer_bytes = in.get(claim_answer_setting),
            .lifetime = in.get(claim_lifetime_setting),
            .sweep_rows = in.get(sweep_rows_setting),
            .sweep_period = in.get(sweep_period_setting)};
}

wave_settings read_waves(settings_reader& in)
{
    return {.save = in.get(wave_saving_setting),
            .one_at_a_time = in.get(one_at_a_time_setting),
            .loans_per_pool = small(in, loans_setting),
            .loan_term = in.get(loan_term_setting),
            .most_failed = small(in, most_failed_setting),
            .return_timeout = in.get(return_timeout_setting),
            .lost_after = in.get(lost_after_setting)};
}

settings read_all(settings_reader& in)
{
    return {.cluster = in.get(cluster_setting),
            .entry = in.get(entry_setting),
            .availability_zone = in.get(zone_setting),
            .region = in.get(region_setting),
            .listen = {.callers = in.get(callers_setting),
                       .operators = in.get(operators_setting),
                       .peers = in.get(peers_listen_setting)},
            .operator_token_file = in.get(token_file_setting),
            .platform = in.get(platform_setting),
            .peers = in.get_list(peers_setting),
            .limits = {.body_bytes = in.get(body_bytes_setting),
                       .answer_bytes = in.get(answer_bytes_setting),
                       .queue_requests = in.get(queue_requests_setting),
                       .queue_requests_per_service = in.get(service_queue_setting),
                       .queue_bytes = in.get(queue_bytes_setting)},
            .timings = {.lease = in.get(lease_setting),
                        .renew = in.get(renew_setting),
                        .head_poll = in.get(head_poll_setting),
                        .list_poll = in.get(list_poll_setting),
                        .list_lag = in.get(list_lag_setting),
                        .drain_timeout = in.get(drain_timeout_setting)},
            .attempts = read_attempts(in),
            .claims = read_claims(in),
            .waves = read_waves(in),
            .logs = {.format = in.get(format_setting), .level = in.get(level_setting)},
            .traces = {.ring = in.get(ring_setting), .file = in.get(trace_file_setting)}};
}

void check_listeners(settings_reader& in, const settings& read)
{
    std::set<std::string> used;
    const auto check = [&](const setting<endpoint>& where, const endpoint& value) {
        if (value.port != 0 && !used.insert(value.str()).second) {
            in.fault(where.path, value.str(), "another port than the other listeners");
        }
    };
    check(callers_setting, read.listen.callers);
    check(operators_setting, read.listen.operators);
    check(peers_listen_setting, read.listen.peers);
    const endpoint& operators = read.listen.operators;
    if (read.operator_token_file.empty() && !operators.address.empty() && !operators.loopback()) {
        in.fault(operators_setting.path, operators.str(),
                 "a loopback address, as no operator_token_file is set");
    }
}

void check_claims(settings_reader& in, const claim_settings& read)
{
    if (read.transactions_per_second > read.shared_transactions_per_second) {
        in.fault(claim_rate_setting.path, std::to_string(read.transactions_per_second),
                 "at most claims.shared_transactions_per_second");
    }
}

void check_timings(settings_reader& in, const timing_settings& read)
{
    if (read.renew * 2 > read.lease) {
        in.fault(renew_setting.path, std::to_string(read.renew.count()),
                 "at most half of timings.lease_ms");
    }
}

std::string message_of(const settings_fault& fault)
{
    const std::string line = fault.line > 0 ? fmt::format(":{}", fault.line) : "";
    const std::string value = fault.value.empty() ? "missing" : fmt::format("\"{}\"", fault.value);
    return fmt::format("{}{}: {}: {}; expected {}", fault.file, line, fault.path, value,
                       fault.expected);
}

std::string message_of(const std::vector<settings_fault>& faults)
{
    std::string all;
    for (const settings_fault& each : faults) {
        all += all.empty() ? "" : "\n";
        all += message_of(each);
    }
    return all;
}

std::vector<error_field> fields_of(const std::vector<settings_fault>& faults)
{
    std::vector<error_field> all;
    all.reserve(faults.size());
    for (const settings_fault& each : faults) {
        all.push_back({each.path, message_of(each)});
    }
    return all;
}

YAML::Node parse_yaml(std::string_view text, const std::string& file)
{
    try {
        return YAML::Load(std::string(text));
    }
    catch (const YAML::Exception& failure) {
        const int line = failure.mark.line;
        throw settings_error({{.file = file,
                               .line = line < 0 ? 0 : static_cast<std::size_t>(line) + 1,
                               .value = failure.msg,
                               .expected = "YAML"}});
    }
}

} // namespace

settings_error::settings_error(std::vector<settings_fault> faults)
    : error("settings-error", message_of(faults), fields_of(faults)), m_faults(std::move(faults))
{
}

settings parse_settings(std::string_view text, const std::string& file)
{
    settings_reader in(parse_yaml(text, file), file);
    settings read = read_all(in);
    check_listeners(in, read);
    check_timings(in, read.timings);
    check_claims(in, read.claims);
    in.check_keys();
    if (!in.faults().empty()) {
        throw settings_error(in.faults());
    }
    return read;
}

settings load_settings(const std::filesystem::path& file)
{
    std::ifstream in(file, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in) {
        throw settings_error({{.file = file.string(), .expected = "a file that can be read"}});
    }
    settings read = parse_settings(text, file.string());
    const std::filesystem::path& token = read.operator_token_file;
    if (!token.empty() && !std::ifstream(token)) {
        throw settings_error({{.file = file.string(),
                               .path = std::string(token_file_setting.path),
                               .value = token.string(),
                               .expected = "a file that can be read"}});
    }
    return read;
}

} // namespace plantaindoor::process
