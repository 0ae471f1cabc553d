// The operators' HTTP interface: a table of routes, the bearer token, and typed errors as JSON.
// Each part of the system adds its own routes.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/connection/http_message.hpp"
#include "plantaindoor/connection/http_server.hpp"

#include <exception>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plantaindoor::connection {

/// A request that passed the token check and matched a route.
struct operator_request {
    /// What stood in the place of each "{}" of the route's path.
    std::vector<std::string> parameters;
    std::map<std::string, std::string> query;
    std::string body;
    /// The operator's name as given, for the log of changes.
    std::string author;

    /// A query value, or the default where it is absent.
    [[nodiscard]] std::string query_or(const std::string& name, const std::string& other) const;
};

/// The request lacks the operators' token.
class unauthorized_error : public error {
public:
    unauthorized_error() : error("unauthorized", "the operators' token is missing or wrong", {}) {}
};

/// The verb's subsystem is not in this entry.
class not_supported_error : public error {
public:
    explicit not_supported_error(const std::string& verb)
        : error("not-supported", verb + " is not supported by this entry", {{"verb", verb}})
    {
    }
};

/// The platform's table did not answer, so nothing could be decided or kept.
class table_unavailable_error : public error {
public:
    explicit table_unavailable_error(const std::string& outcome)
        : error("table-unavailable", "the platform's table gave no answer: " + outcome,
                {{"outcome", outcome}})
    {
    }
};

/// Answers an operator; call exactly one of the two, once, on the loop's thread.
struct operator_responder {
    http_responder respond;

    /// Status 200 with a JSON body.
    void json(std::string body) const;
    /// The typed error's status and body.
    void fail(const error& failure) const;
    /// The same for an error caught elsewhere; an untyped one is answered as "internal".
    void fail(const std::exception_ptr& failure) const;
};

using operator_handler = std::function<void(operator_request, operator_responder)>;

/// Chooses the handler of each request. Loop thread only.
class operator_router {
public:
    /// An empty token lets everybody in; the listener must then be on loopback.
    explicit operator_router(std::string token);

    /// Adds a route; "{}" in the path stands for one segment. A handler may throw typed errors.
    void add(std::string method, const std::string& path, operator_handler handler);
    /// Adds a route that needs no token, for the balancer's and the metrics reader's use.
    void add_open(std::string method, const std::string& path, operator_handler handler);
    /// Answers one request.
    void handle(const http_request& request, http_responder respond) const;

private:
    struct route {
        std::string method;
        std::vector<std::string> segments;
        operator_handler handler;
        bool open = false;
    };

    [[nodiscard]] bool token_fits(const http_request& request) const;
    void add_route(std::string method, const std::string& path, operator_handler handler,
                   bool open);

    std::string m_token;
    std::vector<route> m_routes;
};

} // namespace plantaindoor::connection
