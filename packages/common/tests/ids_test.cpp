#include "plantaindoor/common/ids.hpp"
#include "plantaindoor/common/table.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;

TEST_CASE("ids of the same value are equal and ordered by value", "[ids]")
{
    CHECK(pool_id("a") == pool_id("a"));
    CHECK(pool_id("a") < pool_id("b"));
}

TEST_CASE("an enum's name parses back to its value", "[enum_names]")
{
    for (const auto& row : enum_names<transact_outcome>::table) {
        CHECK(parse_enum<transact_outcome>(name_of(row.value)) == row.value);
    }
    CHECK_FALSE(parse_enum<transact_outcome>("nonsense"));
}
