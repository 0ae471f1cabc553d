// Compares the dispatcher with a single FIFO queue at three times the capacity, by priority class.
#include "arguments.hpp"

#include "fakes/uniform_fleet.hpp"
#include "plantaindoor/request/dispatcher.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

using namespace plantaindoor;
using version::priority;

namespace {

constexpr std::size_t slots = 80;
constexpr milliseconds mean_work{50};
constexpr std::array<milliseconds, 3> request_timeouts{
    {milliseconds{500}, milliseconds{1000}, milliseconds{5000}}};

struct arrival {
    nanoseconds at{};
    nanoseconds work{};
    priority level = priority::interactive;
};

/// Demand of each priority class as a multiple of the capacity.
using demand_shares = std::array<double, 3>;

std::vector<arrival> make_arrivals(const demand_shares& shares, seconds length)
{
    std::mt19937_64 random(11);
    double total = 0;
    for (const double share : shares) {
        total += share;
    }
    const double capacity =
        static_cast<double>(slots) / std::chrono::duration<double>(mean_work).count();
    std::exponential_distribution<double> interval(total * capacity);
    std::exponential_distribution<double> work(1);
    std::discrete_distribution<int> level(shares.begin(), shares.end());
    std::vector<arrival> result;
    for (double at = interval(random); at < static_cast<double>(length.count());
         at += interval(random)) {
        const double duration = work(random) * std::chrono::duration<double>(mean_work).count();
        result.push_back(
            {.at = std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(at)),
             .work =
                 std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(duration)),
             .level = static_cast<priority>(level(random))});
    }
    return result;
}

struct class_result {
    std::size_t submitted = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    nanoseconds refused_after{0};
    milliseconds max_retry_after{0};
};

using results = std::array<class_result, 3>;

class_result& result_of(results& all, priority level)
{
    return all.at(static_cast<std::size_t>(level));
}

/// Event queue in virtual time. Runs callbacks in the order of their times, and those of equal time
/// in the order in which they were scheduled.
class virtual_timeline {
public:
    void at(nanoseconds when, std::function<void()> run)
    {
        m_events.push({when, ++m_order, std::move(run)});
    }
    [[nodiscard]] nanoseconds now() const { return m_now; }
    void run()
    {
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
    }

private:
    struct event {
        nanoseconds at{};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    std::priority_queue<event> m_events;
    nanoseconds m_now{0};
    std::uint64_t m_order = 0;
};

void count_completion(results& all, const arrival& request, nanoseconds now)
{
    const bool in_time =
        now <= request.at + request_timeouts.at(static_cast<std::size_t>(request.level));
    class_result& result = result_of(all, request.level);
    ++(in_time ? result.in_time : result.late);
}

/// Serves all requests from one FIFO queue without refusals, as an entry without admission control
/// would.
results run_fifo(const std::vector<arrival>& arrivals)
{
    results all;
    virtual_timeline time;
    std::queue<const arrival*> waiting;
    std::size_t busy = 0;
    std::function<void()> serve = [&] {
        while (busy < slots && !waiting.empty()) {
            const arrival* request = waiting.front();
            waiting.pop();
            ++busy;
            time.at(time.now() + request->work, [&, request] {
                --busy;
                count_completion(all, *request, time.now());
                serve();
            });
        }
    };
    for (const arrival& each : arrivals) {
        time.at(each.at, [&] {
            ++result_of(all, each.level).submitted;
            waiting.push(&each);
            serve();
        });
    }
    time.run();
    return all;
}

/// Serves the requests with the production dispatcher.
class dispatcher_simulation {
public:
    dispatcher_simulation()
        : m_dispatcher({.self = entry_id("e0"), .zone = availability_zone_id("z0")})
    {
        m_dispatcher.update(fakes::uniform_fleet({.instances_per_pool = slots / 8}), now());
    }

    results run(const std::vector<arrival>& arrivals)
    {
        for (const arrival& each : arrivals) {
            m_time.at(each.at, [this, &each] { submit(each); });
        }
        m_time.run();
        return m_all;
    }

private:
    [[nodiscard]] time_point now() const { return time_point{} + m_time.now(); }

    void submit(const arrival& each)
    {
        class_result& result = result_of(m_all, each.level);
        ++result.submitted;
        const time_point arrived = time_point{} + each.at;
        try {
            const auto ticket = m_dispatcher.submit(
                {.service = service_id("s0"),
                 .team = team_id("team"),
                 .priority = each.level,
                 .arrived = arrived,
                 .deadline = arrived + request_timeouts.at(static_cast<std::size_t>(each.level))},
                {}, now());
            m_requests.emplace(ticket, &each);
        }
        catch (const request::refusal& refused) {
            count_refusal(each, refused);
        }
        advance();
    }

    void count_refusal(const arrival& each, const request::refusal& refused)
    {
        class_result& result = result_of(m_all, each.level);
        ++result.refused;
        result.refused_after += m_time.now() - each.at;
        result.max_retry_after = std::max(result.max_retry_after, refused.retry_after());
    }

    void advance()
    {
        for (const auto& action : m_dispatcher.advance(now())) {
            if (const auto* refused = std::get_if<request::ticket_refusal>(&action)) {
                count_refusal(*m_requests.at(refused->ticket), *refused->why);
                m_requests.erase(refused->ticket);
                continue;
            }
            const auto ticket = std::get<request::target_grant>(action).ticket;
            m_time.at(m_time.now() + m_requests.at(ticket)->work, [this, ticket] {
                m_dispatcher.release(ticket, request::attempt_result::answered, now());
                count_completion(m_all, *m_requests.at(ticket), m_time.now());
                m_requests.erase(ticket);
                advance();
            });
        }
    }

    virtual_timeline m_time;
    request::dispatcher m_dispatcher;
    std::unordered_map<request::ticket_id, const arrival*> m_requests;
    results m_all;
};

double fraction(std::size_t amount, std::size_t all)
{
    return all == 0 ? 0 : static_cast<double>(amount) / static_cast<double>(all);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("overload_bench", "Overload by class against one queue.");
    usage.add_options()("json", "Print JSON.")("seconds", "Virtual length of a trial.",
                                               cxxopts::value<int>()->default_value("60"));
    const auto arguments = plantaindoor::bench::parse_or_exit(usage, argc, argv);
    const seconds length{arguments["seconds"].as<int>()};
    struct demand_mix {
        const char* name;
        demand_shares shares;
    };
    const std::array<demand_mix, 3> demand_mixes{
        {{"fits", {0.2, 0.6, 2.2}}, {"nearly", {0.3, 0.65, 2.05}}, {"not", {0.5, 1.5, 1.0}}}};
    nlohmann::json all = nlohmann::json::array();
    const bool json = arguments.count("json") > 0;
    if (!json) {
        fmt::print("{:8} {:11} {:12} {:>8} {:>8} {:>8} {:>8} {:>12} {:>12}\n", "demand", "way",
                   "class", "asked", "goodput", "late", "refused", "refused in", "retry after");
    }
    for (const demand_mix& each : demand_mixes) {
        const auto arrivals = make_arrivals(each.shares, length);
        const std::array<std::pair<const char*, results>, 2> strategies{
            {{"fifo", run_fifo(arrivals)}, {"dispatcher", dispatcher_simulation().run(arrivals)}}};
        for (const auto& [strategy, by_class] : strategies) {
            for (const auto& row : enum_names<priority>::table) {
                const class_result& result = by_class.at(static_cast<std::size_t>(row.value));
                const double refused_ms =
                    std::chrono::duration<double, std::milli>(result.refused_after).count() /
                    static_cast<double>(std::max<std::size_t>(result.refused, 1));
                all.push_back({{"demand", each.name},
                               {"way", strategy},
                               {"class", row.name},
                               {"asked", result.submitted},
                               {"goodput", fraction(result.in_time, result.submitted)},
                               {"late", result.late},
                               {"refused", result.refused},
                               {"mean_refused_after_ms", refused_ms},
                               {"longest_retry_after_ms", result.max_retry_after.count()}});
                if (!json) {
                    fmt::print("{:8} {:11} {:12} {:8} {:8.4f} {:8} {:8} {:9.1f} ms {:9} ms\n",
                               each.name, strategy, row.name, result.submitted,
                               fraction(result.in_time, result.submitted), result.late,
                               result.refused, refused_ms, result.max_retry_after.count());
                }
            }
        }
    }
    if (json) {
        fmt::print("{}\n", all.dump(2));
    }
    return 0;
}
