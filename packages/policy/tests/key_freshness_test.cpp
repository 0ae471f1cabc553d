#include "plantaindoor/policy/key_freshness.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace plantaindoor;
using namespace plantaindoor::policy;

namespace {

constexpr milliseconds bound{5000};
constexpr milliseconds max_store_lag{1000};
const time_point start{seconds(100)};

} // namespace

// Guards against an entry that admits a removed key: it was frozen, cut off from the store, or read
// a store that lags behind. Reads are answered or lost at random, and answers arrive in any order.
TEST_CASE("A key isn't admitted once the configuration that removed it is older than the bound")
{
    std::mt19937 random(20261204);
    for (int round = 0; round < 2000; ++round) {
        key_freshness freshness({.revocation_bound = bound, .reserve = max_store_lag});
        const time_point removed = start + milliseconds(random() % 4000);
        bool seen_removal = false;
        time_point now = start;
        for (int step = 0; step < 60 && !seen_removal; ++step) {
            now += milliseconds(random() % 700);
            const milliseconds travel(random() % 600);
            const milliseconds lag(random() % max_store_lag.count());
            if (random() % 3 != 0) {
                const time_point sent = now - travel;
                seen_removal = sent - lag >= removed;
                if (!seen_removal) {
                    freshness.note_read(sent);
                }
            }
            if (!seen_removal && now >= removed + bound) {
                REQUIRE_FALSE(freshness.is_fresh(now));
            }
        }
    }
}

// Guards against refusing callers of an entry that is only slow to hear from the store.
TEST_CASE("Keys are admitted while reads are answered within three seconds")
{
    key_freshness freshness({.revocation_bound = bound, .reserve = max_store_lag});
    CHECK_FALSE(freshness.is_fresh(start));
    CHECK_FALSE(freshness.age(start));
    freshness.note_read(start);
    CHECK(freshness.is_fresh(start + seconds(3)));
    CHECK(freshness.age(start + seconds(3)) == seconds(3));
    freshness.note_read(start - seconds(1));
    CHECK(freshness.is_fresh(start + seconds(3)));
}
