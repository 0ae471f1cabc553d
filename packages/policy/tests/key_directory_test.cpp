#include "plantaindoor/policy/key_directory.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

const workspace_id editors("editors");
const workspace_id shop("shop");

} // namespace

// Guards against calls that are served with a key that no configuration holds.
TEST_CASE("Only the keys of the configuration have a workspace")
{
    key_directory keys(7);
    CHECK(keys.add(editors, "first") == key_addition::added);
    CHECK(keys.add(editors, "second") == key_addition::added);
    REQUIRE(keys.find("first") != nullptr);
    CHECK(*keys.find("first") == editors);
    CHECK(*keys.find("second") == editors);
    CHECK(keys.find("First") == nullptr);
    CHECK(keys.find("first ") == nullptr);
    CHECK(keys.find("") == nullptr);
    CHECK(key_directory(7).find("first") == nullptr);
}

// Guards against a key that admits to whichever workspace the configuration names last.
TEST_CASE("A key of two workspaces admits to none of them")
{
    key_directory keys(7);
    CHECK(keys.add(editors, "same") == key_addition::added);
    CHECK(keys.add(shop, "same") == key_addition::shared);
    CHECK(keys.add(editors, "same") == key_addition::shared);
    CHECK(keys.find("same") == nullptr);
}

// Guards against unbounded memory for long keys, and against the empty key as a credential.
TEST_CASE("Keys of any length are held as digests, empty ones are not")
{
    key_directory keys(7);
    const std::string longest(8192, 'k');
    CHECK(keys.add(editors, longest) == key_addition::added);
    CHECK(keys.add(editors, "") == key_addition::empty);
    CHECK(keys.add(workspace_id(), "key") == key_addition::empty);
    CHECK(*keys.find(longest) == editors);
    CHECK(keys.find(longest + "k") == nullptr);
    CHECK(keys.size() == 1);
    CHECK(key_fingerprint(longest).size() == 6);
}
