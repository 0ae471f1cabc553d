#include "plantaindoor/process/registrar.hpp"

#include "plantaindoor/version/codec.hpp"
#include "plantaindoor/version/log_rows.hpp"

#include <algorithm>
#include <utility>

namespace plantaindoor::process {

namespace {

const table_row* find_row(const std::vector<table_row>& rows, std::string_view key)
{
    const auto found = std::ranges::find(rows, key, &table_row::key);
    return found == rows.end() ? nullptr : &*found;
}

/// Nothing for a head that can't be decoded.
std::optional<version::version_number> head_version(const table_row* head)
{
    try {
        return head == nullptr ? 0 : version::decode_log_head(head->value).version;
    }
    catch (const version::decode_error&) {
        return std::nullopt;
    }
}

bool planned_out(const version::instance& instance)
{
    return instance.state == version::instance_state::draining ||
           instance.state == version::instance_state::stopped;
}

} // namespace

registrar::registrar(event_loop& loop, table& rows, membership_reader& reader, instance_list& list,
                     version::table_change_log& log, membership& members, registrar_options options)
    : m_loop(loop),
      m_table(rows),
      m_reader(reader),
      m_list(list),
      m_log(log),
      m_members(members),
      m_options(std::move(options)),
      m_key(version::registration_key(
          {.entry = m_options.self, .incarnation = m_options.incarnation})),
      m_retirement(m_options.retirement)
{
}

registrar::~registrar()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_scan_timer);
}

/// Drops a callback that arrives after the registrar's end.
template<class Action>
auto registrar::while_alive(Action action)
{
    return [alive = std::weak_ptr<bool>(m_alive), action = std::move(action)](auto&&... results) {
        if (!alive.expired()) {
            action(std::forward<decltype(results)>(results)...);
        }
    };
}

void registrar::start()
{
    m_log.subscribe(while_alive([this](const version::fleet_ptr& newest) { follow_log(newest); }));
    follow_log(m_log.current());
    tick();
    scan();
}

void registrar::tick()
{
    if (const auto as_of = m_log.current_as_of()) {
        m_members.on_head_applied(*as_of);
    }
    m_members.on_busy(busy());
    write_if_due();
    m_timer = m_loop.call_after(m_options.tick, [this] { tick(); });
}

void registrar::follow_log(const version::fleet_ptr& newest)
{
    const bool urgent = std::ranges::any_of(newest->instances, [&](const auto& each) {
        return planned_out(each.second) && each.second.state_version > m_followed;
    });
    m_followed = newest->version;
    milliseconds longest = m_options.retirement.longest_request;
    for (const auto& [id, service] : newest->services) {
        longest = std::max(longest, service.longest_request);
    }
    m_retirement.set_longest_request(longest);
    m_members.on_applied(newest->version, urgent);
}

std::vector<instance_id> registrar::busy() const
{
    const version::fleet_ptr current = m_log.current();
    std::vector<instance_id> found;
    for (const instance_id& each : m_options.busy_targets()) {
        const auto known = current->instances.find(each);
        const bool admitted = known != current->instances.end() &&
                              known->second.state == version::instance_state::admitted;
        if (!admitted) {
            found.push_back(each);
        }
    }
    return found;
}

void registrar::write_if_due()
{
    const bool read_once = m_log.current_as_of().has_value();
    if (!read_once || !m_members.write_due(m_loop.now())) {
        return;
    }
    registration_write write = m_members.begin_write(m_loop.now(), m_loop.wall_now(), busy());
    if (!write.first && m_row) {
        renew(write);
    }
    else {
        read_before_write(std::move(write));
    }
}

void registrar::read_before_write(registration_write write)
{
    m_table.read({std::string(version::log_head_key), m_key},
                 while_alive([this, write = std::move(write)](const read_result& rows) {
                     if (rows) {
                         on_read(write, *rows);
                     }
                     else {
                         m_members.on_written(registration_outcome::failed);
                     }
                 }));
}

void registrar::on_read(const registration_write& write, const std::vector<table_row>& rows)
{
    const table_row* own = find_row(rows, m_key);
    if (own != nullptr) {
        m_row = own->version;
        renew(write);
        return;
    }
    if (!write.first) {
        m_members.on_written(registration_outcome::row_missing);
        return;
    }
    const table_row* head = find_row(rows, version::log_head_key);
    if (head_version(head) != write.row.applied) {
        m_log.poll_now();
        m_members.on_written(registration_outcome::failed);
        return;
    }
    const row_version head_row = head == nullptr ? absent_row : head->version;
    send(write,
         {.conditions = {{std::string(version::log_head_key), head_row}, {m_key, absent_row}}});
}

void registrar::renew(const registration_write& write)
{
    send(write, {.conditions = {{m_key, *m_row}}});
}

void registrar::send(const registration_write& write, table_transaction step)
{
    step.writes.push_back({m_key, version::encode(write.row)});
    m_table.transact(std::move(step),
                     while_alive([this](const transact_result& result) { on_transacted(result); }));
}

void registrar::on_transacted(const transact_result& result)
{
    if (result.outcome == transact_outcome::applied) {
        const bool first = !m_members.registered();
        m_row = result.version;
        m_members.on_written(registration_outcome::written);
        if (first) {
            scan();
        }
        return;
    }
    m_row.reset();
    m_members.on_written(registration_outcome::failed);
}

void registrar::scan()
{
    m_loop.cancel(m_scan_timer);
    m_scan_timer = m_loop.call_after(m_options.scan_period, [this] { scan(); });
    if (m_reading) {
        return;
    }
    m_reading = true;
    m_reader.read(
        {.on_rows = while_alive([this](const auto& rows) { on_rows(rows); }),
         .on_answer = while_alive([this](const membership_answer& answer) { on_answer(answer); })});
}

void registrar::on_rows(const std::vector<version::registration_row>& rows)
{
    std::set<entry_id> entries;
    std::vector<version::registration> values;
    for (const version::registration_row& each : rows) {
        entries.insert(each.value.entry);
        values.push_back(each.value);
    }
    m_members.on_registered(entries, m_loop.now());
    m_options.on_rows(values);
}

void registrar::on_answer(const membership_answer& answer)
{
    m_reading = false;
    if (!answer.rows || !answer.listed) {
        m_retirement.on_gap();
        if (!answer.rows) {
            read_list();
        }
        return;
    }
    const std::set<entry_id> entries = note_listed(*answer.listed);
    for (const auto& each : m_retirement.on_reading(*answer.rows, entries, m_loop.now())) {
        const std::string key = version::registration_key(each.value);
        m_table.transact({.conditions = {{key, each.version}}, .writes = {{key, std::nullopt}}},
                         [](const transact_result&) {});
    }
}

void registrar::read_list()
{
    m_list.list(while_alive([this](const auto& listed) {
        if (listed) {
            note_listed(*listed);
        }
    }));
}

std::set<entry_id> registrar::note_listed(const std::vector<listed_instance>& listed)
{
    std::set<entry_id> entries;
    for (const listed_instance& each : listed) {
        if (each.role == listed_role::entry) {
            entries.emplace(each.id);
        }
    }
    m_members.on_listed(entries, m_loop.now());
    return entries;
}

} // namespace plantaindoor::process
