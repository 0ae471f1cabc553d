#include "plantaindoor/connection/http_platform.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/process/reactor_loop.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace plantaindoor;
using namespace plantaindoor::connection;
using plantaindoor::process::reactor_loop;

namespace {

/// A platform whose list has a tag, and the adapter that reads it.
struct listing {
    reactor_loop loop;
    std::string tag = "\"1\"";
    std::string id = "w1";
    /// Answers "not modified" whatever the caller has.
    bool always_unmodified = false;
    std::vector<std::uint16_t> statuses;
    http_server server{
        loop,
        {.listen = {.address = "127.0.0.1"},
         .on_request = [this](const http_request& request,
                              const http_responder& respond) { respond(answer(request)); },
         .on_overflow = [] { return http_response{.status = 413}; }}};
    http_client client{loop};
    http_instances instances{client, {.at = {.address = "127.0.0.1", .port = server.port()}}};

    http_response answer(const http_request& request)
    {
        const std::string* known = find_header(request.headers, "If-None-Match");
        http_response made;
        if (always_unmodified || (known != nullptr && *known == tag)) {
            made.status = 304;
        }
        else {
            made.body = R"({"instances":[{"id":")" + id + R"(","role":"target","state":"live"}]})";
        }
        if (!tag.empty()) {
            made.headers.push_back({"ETag", tag});
        }
        statuses.push_back(made.status);
        return made;
    }

    /// The listed id; "none" where the list could not be read.
    std::string read()
    {
        std::string got = "none";
        instances.list([&](const std::optional<std::vector<listed_instance>>& listed) {
            got = listed ? listed->at(0).id : got;
            loop.stop();
        });
        loop.run();
        return got;
    }
};

} // namespace

TEST_CASE("an unchanged list is not sent again, and a changed one is", "[http_platform]")
{
    listing platform;
    CHECK(platform.read() == "w1");
    CHECK(platform.read() == "w1");
    platform.id = "w2";
    platform.tag = "\"2\"";
    CHECK(platform.read() == "w2");
    CHECK(platform.read() == "w2");
    CHECK(platform.statuses == std::vector<std::uint16_t>{200, 304, 200, 304});
}

TEST_CASE("a list without a tag is read whole each time", "[http_platform]")
{
    listing platform;
    CHECK(platform.read() == "w1");
    platform.tag.clear();
    platform.id = "w2";
    CHECK(platform.read() == "w2");
    platform.id = "w3";
    CHECK(platform.read() == "w3");
    CHECK(platform.statuses == std::vector<std::uint16_t>{200, 200, 200});
}

TEST_CASE("an answer without a list is no list where none is known", "[http_platform]")
{
    listing platform;
    platform.always_unmodified = true;
    CHECK(platform.read() == "none");
}
