#include "plantaindoor/process/membership_reader.hpp"

#include "plantaindoor/version/codec.hpp"

#include <utility>

namespace plantaindoor::process {

namespace {

/// Rows asked for in one reading, so that it is a consistent one.
constexpr std::size_t max_rows = 10000;

std::optional<std::vector<version::registration_row>> decode(const read_result& rows)
{
    try {
        return rows ? std::optional(version::registration_rows(*rows)) : std::nullopt;
    }
    catch (const version::decode_error&) {
        // An entry that can't be read can't have confirmed.
        return std::nullopt;
    }
}

} // namespace

membership_reader::membership_reader(event_loop& loop, table& rows, instance_list& list,
                                     membership_reader_options options)
    : m_table(rows),
      m_list(list),
      m_options(options),
      m_turns(loop, [this](std::vector<caller> callers) { start(std::move(callers)); })
{
}

template<class Action>
auto membership_reader::while_alive(Action action)
{
    return [alive = std::weak_ptr<bool>(m_alive), action = std::move(action)](const auto& result) {
        if (!alive.expired()) {
            action(result);
        }
    };
}

void membership_reader::read(caller who)
{
    m_turns.ask(std::move(who));
}

void membership_reader::start(std::vector<caller> callers)
{
    m_turns.set_period(m_options.pace.least);
    m_served = std::move(callers);
    m_table.scan({.prefix = std::string(version::registration_prefix), .limit = max_rows},
                 while_alive([this](const read_result& rows) { on_rows(rows); }));
}

void membership_reader::on_rows(const read_result& rows)
{
    auto decoded = decode(rows);
    if (!decoded) {
        deliver({});
        return;
    }
    m_turns.set_period(m_options.pace.period_after(answer_bytes(*rows)));
    for (const caller& each : m_served) {
        if (each.on_rows) {
            each.on_rows(*decoded);
        }
    }
    // The list is asked for only now: a reading counts if the list is the later half.
    m_list.list(while_alive([this, decoded = std::move(decoded)](const auto& listed) {
        deliver({.rows = decoded, .listed = listed});
    }));
}

void membership_reader::deliver(const membership_answer& answer)
{
    for (const caller& each : std::exchange(m_served, {})) {
        each.on_answer(answer);
    }
    m_turns.ended();
}

} // namespace plantaindoor::process
