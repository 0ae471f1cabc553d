#include "plantaindoor/connection/operator_router.hpp"

#include "plantaindoor/connection/error_json.hpp"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace plantaindoor::connection {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::uint16_t default_error_status = 409;

/// Statuses of errors that are no conflict with the present state.
const std::unordered_map<std::string_view, std::uint16_t>& statuses()
{
    static const std::unordered_map<std::string_view, std::uint16_t> table{
        {"unauthorized", 401},     {"unknown-route", 404},    {"not-supported", 501},
        {"invalid-document", 400}, {"invalid-value", 400},    {"decode-error", 400},
        {"internal", 500},         {"table-unavailable", 503}};
    return table;
}

std::uint16_t status_of(const error& failure)
{
    const auto found = statuses().find(failure.type());
    if (found != statuses().end()) {
        return found->second;
    }
    return failure.type().starts_with("unknown-") ? 404 : default_error_status;
}

class unknown_route_error final : public error {
public:
    unknown_route_error(const std::string& method, const std::string& path)
        : error("unknown-route", "no route is " + method + " " + path,
                {{"method", method}, {"path", path}})
    {
    }
};

class internal_error final : public error {
public:
    explicit internal_error(const std::string& what) : error("internal", what, {{"detail", what}})
    {
    }
};

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decoded(std::string_view text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool coded = text[at] == '%' && at + 2 < text.size() &&
                           hex_value(text[at + 1]) >= 0 && hex_value(text[at + 2]) >= 0;
        if (coded) {
            out += static_cast<char>(hex_value(text[at + 1]) * 16 + hex_value(text[at + 2]));
            at += 2;
        }
        else {
            out += text[at] == '+' ? ' ' : text[at];
        }
    }
    return out;
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (end != 0) {
            parts.emplace_back(text.substr(0, end));
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

std::map<std::string, std::string> query_of(std::string_view target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return query;
    }
    for (const std::string& pair : split(target.substr(mark + 1), '&')) {
        const auto equals = pair.find('=');
        const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
        query.insert_or_assign(percent_decoded(pair.substr(0, equals)), percent_decoded(value));
    }
    return query;
}

/// What stood for each "{}", or nothing where the path does not fit.
std::optional<std::vector<std::string>> matched(const std::vector<std::string>& route,
                                                const std::vector<std::string>& path)
{
    if (route.size() != path.size()) {
        return std::nullopt;
    }
    std::vector<std::string> parameters;
    for (std::size_t at = 0; at < route.size(); ++at) {
        if (route[at] == "{}") {
            parameters.push_back(percent_decoded(path[at]));
        }
        else if (route[at] != path[at]) {
            return std::nullopt;
        }
    }
    return parameters;
}

/// Takes a time that depends on the lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t at = 0; at < left.size() && !right.empty(); ++at) {
        difference |= static_cast<unsigned char>(left[at]) ^
                      static_cast<unsigned char>(right[at % right.size()]);
    }
    return difference == 0;
}

} // namespace

std::string operator_request::query_or(const std::string& name, const std::string& other) const
{
    const auto found = query.find(name);
    return found == query.end() ? other : found->second;
}

void operator_responder::json(std::string body) const
{
    respond({.status = 200,
             .headers = {{"Content-Type", "application/json"}},
             .body = std::move(body)});
}

void operator_responder::fail(const error& failure) const
{
    respond({.status = status_of(failure),
             .headers = {{"Content-Type", "application/json"}},
             .body = to_json(failure)});
}

void operator_responder::fail(const std::exception_ptr& failure) const
{
    try {
        std::rethrow_exception(failure);
    }
    catch (const error& typed) {
        fail(typed);
    }
    catch (const std::exception& other) {
        fail(internal_error(other.what()));
    }
}

operator_router::operator_router(std::string token) : m_token(std::move(token)) {}

void operator_router::add(std::string method, const std::string& path, operator_handler handler)
{
    add_route(std::move(method), path, std::move(handler), false);
}

void operator_router::add_open(std::string method, const std::string& path,
                               operator_handler handler)
{
    add_route(std::move(method), path, std::move(handler), true);
}

void operator_router::add_route(std::string method, const std::string& path,
                                operator_handler handler, bool open)
{
    m_routes.push_back({.method = std::move(method),
                        .segments = split(path, '/'),
                        .handler = std::move(handler),
                        .open = open});
}

void operator_router::handle(const http_request& request, http_responder respond) const
{
    const operator_responder responder{std::move(respond)};
    const std::string path = request.target.substr(0, request.target.find('?'));
    const auto segments = split(path, '/');
    try {
        for (const route& each : m_routes) {
            auto parameters = matched(each.segments, segments);
            if (each.method != request.method || !parameters) {
                continue;
            }
            if (!each.open && !token_fits(request)) {
                throw unauthorized_error();
            }
            const std::string* const author = find_header(request.headers, "Plantaindoor-Operator");
            each.handler(
                {.parameters = std::move(*parameters),
                 .query = query_of(request.target),
                 .body = request.body,
                 .author = "operator:" + (author == nullptr ? std::string("unnamed") : *author)},
                responder);
            return;
        }
        throw unknown_route_error(request.method, path);
    }
    catch (const std::exception&) {
        responder.fail(std::current_exception());
    }
}

bool operator_router::token_fits(const http_request& request) const
{
    if (m_token.empty()) {
        return true;
    }
    const std::string* const given = find_header(request.headers, "Authorization");
    return given != nullptr && given->starts_with(bearer) &&
           equal_in_constant_time(m_token, std::string_view(*given).substr(bearer.size()));
}

} // namespace plantaindoor::connection
