#include "plantaindoor/request/claim_record.hpp"

#include "plantaindoor/common/hash.hpp"

#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace plantaindoor::request {

using nlohmann::json;

namespace {

constexpr unsigned char first_non_ascii = 0x80;
constexpr unsigned two_byte_lead = 0xC0;
constexpr unsigned continuation = 0x80;
constexpr unsigned continuation_bits = 6;
constexpr unsigned continuation_mask = 0x3F;

/// JSON strings must be UTF-8 and bodies need not be: each byte becomes the code point of its
/// value.
std::string utf8_of_bytes(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const char each : bytes) {
        const auto byte = static_cast<unsigned char>(each);
        if (byte < first_non_ascii) {
            text += each;
            continue;
        }
        text += static_cast<char>(two_byte_lead | (byte >> continuation_bits));
        text += static_cast<char>(continuation | (byte & continuation_mask));
    }
    return text;
}

std::string bytes_of_utf8(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto lead = static_cast<unsigned char>(text[at]);
        if (lead < first_non_ascii) {
            bytes += text[at];
            continue;
        }
        if ((lead & ~3U) != two_byte_lead || at + 1 == text.size()) {
            throw claim_decode_error("a recorded byte is out of range");
        }
        const auto next = static_cast<unsigned char>(text[++at]);
        bytes += static_cast<char>((lead << continuation_bits) | (next & continuation_mask));
    }
    return bytes;
}

json json_of(const recorded_answer& answer)
{
    json headers = json::array();
    for (const answer_header& each : answer.headers) {
        headers.push_back({utf8_of_bytes(each.name), utf8_of_bytes(each.value)});
    }
    return {{"status", answer.status},
            {"kept", answer.kept},
            {"headers", std::move(headers)},
            {"body", utf8_of_bytes(answer.body)}};
}

recorded_answer answer_of(const json& in)
{
    recorded_answer answer{.status = in.at("status").get<std::uint16_t>(),
                           .kept = in.at("kept").get<bool>(),
                           .body = bytes_of_utf8(in.at("body").get<std::string>())};
    for (const json& each : in.at("headers")) {
        answer.headers.push_back({bytes_of_utf8(each.at(0).get<std::string>()),
                                  bytes_of_utf8(each.at(1).get<std::string>())});
    }
    return answer;
}

wall_time wall_of(const json& in, const char* name)
{
    return wall_time(milliseconds(in.at(name).get<std::int64_t>()));
}

claim_state state_of(const json& in)
{
    const auto name = in.at("state").get<std::string>();
    const auto state = parse_enum<claim_state>(name);
    if (!state) {
        throw claim_decode_error("state \"" + name + "\" is not one of " +
                                 expected_names<claim_state>());
    }
    return *state;
}

bool is_visible(char each)
{
    return each > ' ' && each <= '~';
}

} // namespace

std::string encode(const claim_record& record)
{
    json out{{"state", name_of(record.state)},
             {"owner", record.owner},
             {"hash", record.request_hash},
             {"ends_by", record.ends_by.time_since_epoch().count()},
             {"written", record.written.time_since_epoch().count()}};
    if (record.state == claim_state::answered) {
        out["answer"] = json_of(record.answer);
    }
    return out.dump();
}

claim_record decode_claim(std::string_view bytes)
{
    try {
        const json in = json::parse(bytes);
        claim_record record{.state = state_of(in),
                            .owner = in.at("owner").get<std::string>(),
                            .request_hash = in.at("hash").get<std::string>(),
                            .ends_by = wall_of(in, "ends_by"),
                            .written = wall_of(in, "written")};
        if (record.state == claim_state::answered) {
            record.answer = answer_of(in.at("answer"));
        }
        return record;
    }
    catch (const json::exception& failure) {
        throw claim_decode_error(failure.what());
    }
}

std::string claim_key(const service_id& service, std::string_view key)
{
    std::string row(claim_prefix);
    row += service.str();
    row += '/';
    for (const char each : key) {
        if (each == '/' || each == '%') {
            row += fmt::format("%{:02X}", each);
        }
        else {
            row += each;
        }
    }
    return row;
}

bool is_idempotency_key(std::string_view key) noexcept
{
    return !key.empty() && key.size() <= max_idempotency_key_bytes &&
           std::ranges::all_of(key, &is_visible);
}

std::string request_hash(std::string_view method, std::string_view target, std::string_view body)
{
    std::string whole;
    whole.reserve(method.size() + target.size() + body.size() + 2);
    whole.append(method).append(" ").append(target).append("\n").append(body);
    return fmt::format("{:016x}{:016x}", hash64(whole, 1), hash64(whole, 2));
}

} // namespace plantaindoor::request
