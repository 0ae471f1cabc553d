#include "api_client.hpp"

#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <fmt/format.h>

#include <cctype>
#include <utility>

namespace plantaindoor::ctl {

using connection::http_result;

namespace {

http_result call_once(connection::http_call call)
{
    process::reactor_loop loop;
    connection::http_client client(loop);
    http_result received;
    client.start(std::move(call), [&](http_result result) {
        received = std::move(result);
        loop.stop();
    });
    loop.run();
    return received;
}

} // namespace

api_client::api_client(api_options options) : m_options(std::move(options)) {}

connection::http_response api_client::call(const std::string& method, const std::string& target,
                                           const std::string& body) const
{
    connection::http_request request{.method = method, .target = target, .body = body};
    request.headers.push_back({"Plantaindoor-Operator", m_options.author});
    if (!m_options.token.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + m_options.token});
    }
    std::string tried;
    for (const connection::endpoint& entry : m_options.entries) {
        auto result = call_once({.to = entry, .request = request, .timeout = m_options.timeout});
        if (result.fault == connection::transport_fault::none) {
            return std::move(result.response);
        }
        tried +=
            fmt::format("{}{} ({})", tried.empty() ? "" : ", ", entry.str(), name_of(result.fault));
        if (result.sent && method != "GET") {
            break;
        }
    }
    throw unreachable_error(tried);
}

std::string percent_encoded(const std::string& text)
{
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
            out += c;
        }
        else {
            out += fmt::format("%{:02X}", byte);
        }
    }
    return out;
}

} // namespace plantaindoor::ctl
