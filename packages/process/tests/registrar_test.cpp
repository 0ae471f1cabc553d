#include "fakes/virtual_loop.hpp"
#include "plantaindoor/process/registrar.hpp"

#include <catch2/catch.hpp>

using namespace plantaindoor;
using namespace plantaindoor::process;

namespace {

constexpr milliseconds answer_time{10};

/// A table that never answers, and a platform's list that does.
class platform_without_table final : public table, public instance_list {
public:
    explicit platform_without_table(event_loop& loop) : m_loop(loop) {}

    void read(std::vector<std::string>, read_callback done) override { fail(std::move(done)); }
    void scan(scan_options, read_callback done) override { fail(std::move(done)); }
    void transact(table_transaction, transact_callback) override {}
    void list(list_callback done) override
    {
        m_loop.call_after(answer_time, [this, done = std::move(done)] { done(listed); });
    }

    std::optional<std::vector<listed_instance>> listed;

private:
    void fail(read_callback done)
    {
        m_loop.call_after(answer_time, [done = std::move(done)] { done(std::nullopt); });
    }

    event_loop& m_loop;
};

listed_instance entry_named(const char* id)
{
    return {.id = id, .role = listed_role::entry};
}

} // namespace

// Guards against an entry that is cut off in an outage of the table, since it counts an entry among
// the others that has been replaced.
TEST_CASE("an entry that the list has dropped doesn't count while the table is unavailable",
          "[registrar]")
{
    fakes::virtual_loop loop;
    loop.run_for(seconds(60));
    platform_without_table platform(loop);
    version::table_change_log log(loop, platform, {.author_id = "e1"});
    membership members({.self = entry_id("e1"), .list_lag = milliseconds(1000)}, loop.now());
    members.on_registered({entry_id("e1"), entry_id("e2"), entry_id("e3")}, loop.now());
    members.on_head_applied(loop.now());
    (void)members.begin_write(loop.now(), {}, {});
    members.on_written(registration_outcome::written);
    membership_reader reader(loop, platform, platform);
    registrar subject(loop, platform, reader, platform, log, members,
                      {.self = entry_id("e1"),
                       .busy_targets = [] { return std::vector<instance_id>(); },
                       .on_rows = [](const auto&) {}});
    const auto hear_e3_for = [&](seconds time) {
        for (const time_point until = loop.now() + time; loop.now() < until;) {
            members.on_peer({.entry = entry_id("e3"), .serving = true, .asked = loop.now()});
            loop.run_for(milliseconds(500));
        }
    };
    platform.listed = {entry_named("e1"), entry_named("e2"), entry_named("e3")};
    subject.start();
    hear_e3_for(seconds(6));
    CHECK(members.may_serve(loop.now()) == serving_state::cut_off);

    SECTION("the list drops it")
    {
        platform.listed = {entry_named("e1"), entry_named("e3")};
        hear_e3_for(seconds(6));
        CHECK(members.may_serve(loop.now()) == serving_state::serving);
    }
    SECTION("the list is unavailable too")
    {
        platform.listed.reset();
        hear_e3_for(seconds(6));
        CHECK(members.may_serve(loop.now()) == serving_state::cut_off);
    }
}
