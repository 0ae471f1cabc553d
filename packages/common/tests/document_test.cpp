#include "plantaindoor/common/document.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace plantaindoor;

namespace {

struct read_values {
    std::string name;
    std::uint32_t count = 0;
    std::vector<document_fault> faults;
};

read_values read(const std::string& text)
{
    read_values values;
    const document_node node = parse_document(text, "f.yaml");
    document_reader reader(node, "", "f.yaml", values.faults);
    values.name = reader.text("name");
    values.count = reader.number<std::uint32_t>("count", 3, {.least = 1, .most = 9});
    reader.finish();
    return values;
}

} // namespace

TEST_CASE("a correct document has no fault and takes its defaults", "[document]")
{
    const auto values = read("name: a\n");
    CHECK(values.faults.empty());
    CHECK(values.name == "a");
    CHECK(values.count == 3);
}

TEST_CASE("all faults are reported with line, path, value and expectation", "[document]")
{
    const auto values = read("count: 12\nnaem: a\n");
    REQUIRE(values.faults.size() == 3);
    CHECK(values.faults[0] ==
          document_fault{.file = "f.yaml", .line = 1, .path = "name", .expected = "given"});
    CHECK(values.faults[1] == document_fault{.file = "f.yaml",
                                             .line = 1,
                                             .path = "count",
                                             .value = "12",
                                             .expected = "a whole number from 1 to 9"});
    CHECK(
        values.faults[2] ==
        document_fault{
            .file = "f.yaml", .line = 2, .path = "naem", .value = "a", .expected = "a known key"});
}

TEST_CASE("a repeated key is a fault", "[document]")
{
    CHECK_THROWS_AS(read("name: a\nname: b\n"), document_error);
}

TEST_CASE("random bytes give a document or a typed error", "[document]")
{
    REQUIRE(rc::check([](const std::string& bytes) {
        try {
            read(bytes);
        }
        catch (const document_error&) {
        }
    }));
}
