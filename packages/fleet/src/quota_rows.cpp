#include "plantaindoor/fleet/quota_rows.hpp"

#include "plantaindoor/fleet/leader_tracker.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace plantaindoor::fleet {

namespace {

using nlohmann::json;
using policy::quota_share;

/// No shard gives more in all its time: the whole cap once a second for 100 years.
constexpr std::int64_t max_given = 4'000'000'000'000'000;

json share_json(const quota_share& share)
{
    return {share.cpu, share.memory, share.accelerators};
}

std::optional<quota_share> share_of(const json& from)
{
    std::array<std::int64_t, 3> counts{};
    if (!from.is_array() || from.size() != counts.size()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < counts.size(); ++index) {
        if (!from[index].is_number_integer()) {
            return std::nullopt;
        }
        counts[index] = from[index].get<std::int64_t>();
        if (counts[index] < 0 || counts[index] > max_given) {
            return std::nullopt;
        }
    }
    return quota_share{counts[0], counts[1], counts[2]};
}

std::optional<shard_number> shard_of(const std::string& text)
{
    shard_number shard = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), shard);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(shard)
                                                                    : std::nullopt;
}

bool read_given(const json& from, policy::quota_row& row)
{
    for (const auto& [workspace, by_recipient] : from.items()) {
        if (!by_recipient.is_object()) {
            return false;
        }
        for (const auto& [recipient, counts] : by_recipient.items()) {
            const auto shard = shard_of(recipient);
            const auto given = share_of(counts);
            if (!shard || !given) {
                return false;
            }
            row.given[workspace_id(workspace)][*shard] = *given;
        }
    }
    return true;
}

bool read_requests(const json& from, policy::quota_row& row)
{
    for (const auto& [workspace, request] : from.items()) {
        if (!request.is_array() || request.size() != 3 || !request[2].is_number_integer()) {
            return false;
        }
        const auto next = share_of(request[0]);
        const auto all = share_of(request[1]);
        if (!next || !all) {
            return false;
        }
        row.requests[workspace_id(workspace)] = {
            .next = *next, .all = *all, .since = request[2].get<std::int64_t>()};
    }
    return true;
}

bool read_excess(const json& from, policy::quota_row& row)
{
    for (const auto& [workspace, counts] : from.items()) {
        const auto excess = share_of(counts);
        if (!excess) {
            return false;
        }
        row.excess[workspace_id(workspace)] = *excess;
    }
    return true;
}

} // namespace

row_address quota_address(shard_number shard)
{
    return {std::string(quota_table), control_partition(shard), "share"};
}

std::string to_text(const policy::quota_row& row, std::uint64_t write)
{
    json given = json::object();
    for (const auto& [workspace, by_recipient] : row.given) {
        for (const auto& [recipient, share] : by_recipient) {
            given[workspace.str()][std::to_string(recipient)] = share_json(share);
        }
    }
    json requests = json::object();
    for (const auto& [workspace, request] : row.requests) {
        requests[workspace.str()] = {share_json(request.next), share_json(request.all),
                                     request.since};
    }
    json text{{"write", write}, {"given", given}, {"requests", requests}};
    for (const auto& [workspace, excess] : row.excess) {
        text["excess"][workspace.str()] = share_json(excess);
    }
    if (row.interval > milliseconds(0)) {
        text["interval"] = row.interval.count();
    }
    return text.dump();
}

std::optional<policy::quota_row> parse_quota_row(std::string_view text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto given = parsed.find("given");
    const auto requests = parsed.find("requests");
    if (given == parsed.end() || !given->is_object() || requests == parsed.end() ||
        !requests->is_object()) {
        return std::nullopt;
    }
    // Absent where there is none.
    const auto excess = parsed.find("excess");
    if (excess != parsed.end() && !excess->is_object()) {
        return std::nullopt;
    }
    policy::quota_row row;
    // Absent in rows of earlier versions.
    if (const auto interval = parsed.find("interval"); interval != parsed.end()) {
        if (!interval->is_number_unsigned()) {
            return std::nullopt;
        }
        row.interval = milliseconds(
            std::min<std::uint64_t>(interval->get<std::uint64_t>(), max_quota_interval.count()));
    }
    const bool valid = read_given(*given, row) && read_requests(*requests, row) &&
                       (excess == parsed.end() || read_excess(*excess, row));
    return valid ? std::optional(std::move(row)) : std::nullopt;
}

} // namespace plantaindoor::fleet
