#include "plantaindoor/connection/caller_headers.hpp"

#include "plantaindoor/connection/error_json.hpp"
#include "plantaindoor/request/claim_record.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace plantaindoor::connection {

namespace {

constexpr std::string_view header_prefix = "Plantaindoor-";

service_id service_of(std::string_view target)
{
    target.remove_prefix(std::min<std::size_t>(1, target.size()));
    return service_id(std::string(target.substr(0, target.find_first_of("/?"))));
}

milliseconds read_deadline(const http_headers& headers, const version::service& service)
{
    const std::string* const text = find_header(headers, deadline_header);
    if (text == nullptr) {
        return service.default_deadline;
    }
    std::int64_t value = 0;
    const char* const last = text->data() + text->size();
    const auto [end, code] = std::from_chars(text->data(), last, value);
    const std::int64_t most = service.longest_request.count();
    if (code != std::errc{} || end != last || value < 1 || value > most) {
        throw request::malformed_header_refusal(std::string(deadline_header), *text,
                                                "a whole number of milliseconds from 1 to " +
                                                    std::to_string(most));
    }
    return milliseconds(value);
}

version::priority read_priority(const http_headers& headers, const version::service& service)
{
    const std::string* const text = find_header(headers, priority_header);
    if (text == nullptr) {
        return service.default_priority;
    }
    const auto value = parse_enum<version::priority>(*text);
    if (!value) {
        throw request::malformed_header_refusal(std::string(priority_header), *text,
                                                expected_names<version::priority>());
    }
    return *value;
}

bool read_idempotent(const http_headers& headers, const version::service& service)
{
    const std::string* const text = find_header(headers, idempotent_header);
    if (text == nullptr) {
        return service.idempotent;
    }
    if (*text != "yes" && *text != "no") {
        throw request::malformed_header_refusal(std::string(idempotent_header), *text, "yes|no");
    }
    return *text == "yes";
}

std::string read_idempotency_key(const http_headers& headers)
{
    const std::string* const text = find_header(headers, idempotency_key_header);
    if (text == nullptr) {
        return {};
    }
    if (!request::is_idempotency_key(*text)) {
        throw request::malformed_header_refusal(
            std::string(idempotency_key_header), *text,
            "1 to " + std::to_string(request::max_idempotency_key_bytes) +
                " printable ASCII characters");
    }
    return *text;
}

bool is_own_header(std::string_view name)
{
    return name.size() >= header_prefix.size() &&
           same_header(name.substr(0, header_prefix.size()), header_prefix);
}

void add_marks(http_headers& headers, const answer_marks& marks)
{
    headers.push_back({std::string(outcome_header), std::string(name_of(marks.told))});
    headers.push_back({std::string(request_id_header), marks.id.str()});
    headers.push_back({std::string(attempts_header), std::to_string(marks.attempts)});
}

} // namespace

request::caller_request read_caller_request(const http_request& from, const version::fleet& fleet,
                                            const arrival& arrived)
{
    const service_id asked = service_of(from.target);
    const auto found = fleet.services.find(asked);
    if (found == fleet.services.end()) {
        throw request::unknown_service_refusal(asked);
    }
    const version::service& service = found->second;
    return {.id = arrived.id,
            .service = asked,
            .team = service.team,
            .priority = read_priority(from.headers, service),
            .idempotent = read_idempotent(from.headers, service),
            .idempotency_key = read_idempotency_key(from.headers),
            .arrived = arrived.at,
            .deadline = arrived.at + read_deadline(from.headers, service),
            .body_bytes = from.body.size()};
}

http_headers end_to_end_headers(http_headers headers)
{
    std::erase_if(headers, [](const http_header& header) {
        return is_hop_header(header.name) || is_own_header(header.name);
    });
    return headers;
}

http_response marked_answer(http_response from_target, const answer_marks& marks)
{
    from_target.headers = end_to_end_headers(std::move(from_target.headers));
    add_marks(from_target.headers, marks);
    return from_target;
}

http_response refusal_answer(const request::refusal& why, answer_marks marks)
{
    marks.told = why.told();
    http_response answer{.status = why.status(),
                         .headers = {{"Content-Type", "application/json"}},
                         .body = to_json(why)};
    if (why.retry_after() > milliseconds(0)) {
        const auto whole_seconds = std::chrono::ceil<seconds>(why.retry_after());
        answer.headers.push_back({"Retry-After", std::to_string(whole_seconds.count())});
    }
    add_marks(answer.headers, marks);
    return answer;
}

http_request request_for_target(const http_request& from, const request_id& id, milliseconds left)
{
    http_request out{.method = from.method, .target = from.target, .body = from.body};
    const auto replaced = [](std::string_view name) {
        return is_hop_header(name) || same_header(name, "host") ||
               same_header(name, request_id_header) || same_header(name, deadline_header) ||
               same_header(name, traceparent_header);
    };
    std::ranges::copy_if(from.headers, std::back_inserter(out.headers),
                         [&](const http_header& header) { return !replaced(header.name); });
    out.headers.push_back({std::string(request_id_header), id.str()});
    out.headers.push_back({std::string(deadline_header), std::to_string(left.count())});
    return out;
}

} // namespace plantaindoor::connection
