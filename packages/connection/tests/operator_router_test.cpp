#include "plantaindoor/connection/operator_router.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::connection;

namespace {

http_response ask(const operator_router& router, const std::string& target,
                  http_headers headers = {})
{
    http_response got;
    router.handle({.method = "GET", .target = target, .headers = std::move(headers)},
                  [&](http_response answer) { got = std::move(answer); });
    return got;
}

operator_router echoing_router(const std::string& token)
{
    operator_router router(token);
    router.add("GET", "/v1/instances/{}/state",
               [](const operator_request& request, const operator_responder& respond) {
                   respond.json(request.parameters.at(0) + "|" + request.query_or("a", "none") +
                                "|" + request.author);
               });
    router.add("GET", "/v1/throws", [](const operator_request&, const operator_responder&) {
        throw not_found_error("pool", "p");
    });
    router.add_open(
        "GET", "/health",
        [](const operator_request&, const operator_responder& respond) { respond.json("{}"); });
    return router;
}

} // namespace

TEST_CASE("a route gets its parameters, query and author", "[operator_router]")
{
    const auto router = echoing_router("");
    CHECK(ask(router, "/v1/instances/w%201/state?a=b+c", {{"Plantaindoor-Operator", "ann"}}).body ==
          "w 1|b c|operator:ann");
    CHECK(ask(router, "/v1/instances/w1").status == 404);
    CHECK(ask(router, "/v1/throws").status == 404);
}

TEST_CASE("without the token nothing is done", "[operator_router]")
{
    const auto router = echoing_router("secret");
    const std::string target = "/v1/instances/w1/state";
    CHECK(ask(router, target).status == 401);
    CHECK(ask(router, target, {{"Authorization", "Bearer secre"}}).status == 401);
    CHECK(ask(router, target, {{"Authorization", "Bearer secret2"}}).status == 401);
    CHECK(ask(router, target, {{"Authorization", "Bearer "}}).status == 401);
    CHECK(ask(router, target, {{"Authorization", "Bearer secret"}}).status == 200);
    CHECK(ask(router, "/health").status == 200);
}
