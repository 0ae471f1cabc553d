// Measures the cost of evaluating the rules once at the intended fleet size: 61 pools, 1,700
// instances, 50 rules.
#include "fakes/uniform_fleet.hpp"
#include "plantaindoor/version/rule_engine.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string_view>

using namespace plantaindoor;
using namespace plantaindoor::version;
using fakes::numbered;

namespace {

constexpr std::size_t pools = 61;
constexpr std::size_t instances_per_pool = 28;
constexpr std::size_t rule_count = 50;
constexpr int rounds = 300;

std::vector<rule> make_rules()
{
    std::vector<rule> all;
    for (std::size_t n = 0; n < rule_count; ++n) {
        const std::string id = numbered("r", n);
        all.push_back(
            {.id = rule_id(id),
             .text = fmt::format("{{rule: {}, when: {{any: [{{healthy_percent: {{pool: p{}, "
                                 "at_most: {}}}}}, {{lost_racks: {{at_least: {}}}, hour: {{from: "
                                 "{}, to: {}}}}}]}}, then: {{hold: wave}}, for_seconds: 30}}",
                                 id, n, 20 + n, 3 + n, n % 24, (n + 5) % 24)});
    }
    return all;
}

template<class Work>
double mean_microseconds(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

} // namespace

int main(int argc, char** argv)
{
    const auto whole =
        fakes::uniform_fleet({.pools = pools, .instances_per_pool = instances_per_pool});
    whole->rules = make_rules();
    rule_engine engine;
    engine.use(std::make_shared<rule_set>(whole->rules));
    rule_facts facts;
    time_point now{};
    std::size_t decided = 0;
    const double compile = mean_microseconds([&] { rule_set compiled(whole->rules); });
    const double warn = mean_microseconds([&] { decided += engine.rules()->warnings().size(); });
    const double gather = mean_microseconds(
        [&] { facts = gather_facts({.whole = *whole, .lost = lost_instances{}}); });
    const double decide = mean_microseconds([&] {
        now += std::chrono::seconds(1);
        decided += engine.decide(facts, now).decided ? 1 : 0;
    });
    const bool json = argc > 1 && std::string_view(argv[1]) == "--json";
    const std::string_view output_format =
        json ? "{{\"compile_us\": {:.1f}, \"warnings_us\": {:.1f}, \"gather_us\": {:.1f}, "
               "\"decide_us\": {:.1f}, \"decided\": {}}}\n"
             : "compile  {:.1f} us\nwarnings {:.1f} us\ngather   {:.1f} us\n"
               "decide   {:.1f} us\n(decided {} times)\n";
    fmt::print(fmt::runtime(output_format), compile, warn, gather, decide, decided);
    return 0;
}
