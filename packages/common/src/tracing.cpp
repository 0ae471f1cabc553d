#include "plantaindoor/common/tracing.hpp"

#include <nlohmann/json.hpp>

#include <exception>

namespace plantaindoor {

using nlohmann::json;

namespace {

json json_of(const span_record& record)
{
    json attributes = json::object();
    for (const span_attribute& each : record.attributes) {
        attributes[std::string(each.name)] = each.value;
    }
    json out{{"trace_id", record.context.trace.str()},
             {"span_id", span_id_text(record.context.span)},
             {"name", record.name},
             {"start_ms", record.started.time_since_epoch().count()},
             {"duration_ns", record.duration.count()},
             {"attributes", std::move(attributes)}};
    if (record.parent != 0) {
        out["parent_id"] = span_id_text(record.parent);
    }
    return out;
}

std::string text_of(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

span& span::operator=(span&& other) noexcept
{
    if (this != &other) {
        end();
        m_owner = std::exchange(other.m_owner, nullptr);
        m_began = other.m_began;
        m_record = std::move(other.m_record);
    }
    return *this;
}

void span::set(std::string_view name, std::string value)
{
    if (m_owner != nullptr && m_record.context.sampled) {
        m_record.attributes.push_back({.name = name, .value = std::move(value)});
    }
}

void span::end() noexcept
{
    tracer* owner = std::exchange(m_owner, nullptr);
    if (owner == nullptr || !m_record.context.sampled) {
        return;
    }
    const trace_context context = m_record.context;
    try {
        owner->keep(std::move(m_record), m_began);
    }
    catch (const std::exception&) {
        // A span that can't be kept is dropped: tracing must not fail the request that it follows.
        ++owner->m_dropped;
    }
    m_record.context = context;
}

tracer::tracer(const time_source& time, const tracer_options& options)
    : m_time(time), m_capacity(options.ring), m_random_state(options.seed)
{
    if (m_capacity == 0) {
        throw invalid_value_error("traces.ring", "0", "at least 1");
    }
    m_ring.reserve(m_capacity);
    if (!options.file.empty()) {
        m_file.open(options.file, std::ios::app);
        if (!m_file) {
            throw trace_file_error(options.file);
        }
    }
}

span tracer::start(std::string_view name)
{
    const trace_context origin{.trace = {.high = draw_id(), .low = draw_id()}};
    return start(name, origin);
}

span tracer::start(std::string_view name, const trace_context& parent)
{
    const trace_context context{
        .trace = parent.trace, .span = draw_id(), .sampled = parent.sampled};
    return {
        *this, m_time.now(),
        span_record{
            .name = name, .context = context, .parent = parent.span, .started = m_time.wall_now()}};
}

std::string tracer::json(const trace_id& trace) const
{
    nlohmann::json all = nlohmann::json::array();
    for (std::size_t i = 0; i < m_ring.size(); ++i) {
        const span_record& each = m_ring[(m_oldest + i) % m_ring.size()];
        if (trace.empty() || each.context.trace == trace) {
            all.push_back(json_of(each));
        }
    }
    return text_of(all);
}

void tracer::keep(span_record record, time_point began)
{
    record.duration = m_time.now() - began;
    if (m_file.is_open()) {
        m_file << text_of(json_of(record)) << '\n' << std::flush;
    }
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(std::move(record));
        return;
    }
    m_ring[m_oldest] = std::move(record);
    m_oldest = (m_oldest + 1) % m_capacity;
    ++m_dropped;
}

/// SplitMix64, never zero: ids need to be distinct, not secret.
std::uint64_t tracer::draw_id() noexcept
{
    std::uint64_t mixed = m_random_state += 0x9e3779b97f4a7c15;
    mixed = (mixed ^ mixed >> 30) * 0xbf58476d1ce4e5b9;
    mixed = (mixed ^ mixed >> 27) * 0x94d049bb133111eb;
    mixed ^= mixed >> 31;
    return mixed == 0 ? draw_id() : mixed;
}

} // namespace plantaindoor
