// Spans: one for each hop that a request or a control action takes. Finished spans are kept in a
// bounded ring, and appended to a file where one is set.
#pragma once

#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/time.hpp"
#include "plantaindoor/common/traceparent.hpp"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindoor {

struct span_attribute {
    /// A literal.
    std::string_view name;
    std::string value;
};

/// A span that has ended.
struct span_record {
    /// A literal: "entry -> target".
    std::string_view name;
    trace_context context;
    /// Zero: the first span of its trace.
    span_id parent = 0;
    wall_time started{};
    nanoseconds duration{0};
    std::vector<span_attribute> attributes;
};

class tracer;

/// A hop under way: ends when destroyed or when end() is called. Must not outlive its tracer.
/// Loop thread only.
class span {
public:
    /// A span that is kept nowhere.
    span() = default;
    span(span&& other) noexcept
        : m_owner(std::exchange(other.m_owner, nullptr)),
          m_began(other.m_began),
          m_record(std::move(other.m_record))
    {
    }
    span& operator=(span&& other) noexcept;
    span(const span&) = delete;
    span& operator=(const span&) = delete;
    ~span() { end(); }

    /// Adds an attribute. The name must be a literal.
    void set(std::string_view name, std::string value);
    /// What the next hop is to be sent.
    [[nodiscard]] const trace_context& context() const noexcept { return m_record.context; }
    /// Ends the span now; later calls do nothing.
    void end() noexcept;

private:
    friend class tracer;
    span(tracer& owner, time_point began, span_record record)
        : m_owner(&owner), m_began(began), m_record(std::move(record))
    {
    }

    tracer* m_owner = nullptr;
    time_point m_began{};
    span_record m_record;
};

/// The file for spans can't be opened.
class trace_file_error : public error {
public:
    explicit trace_file_error(const std::filesystem::path& file)
        : error("trace-file", "cannot append spans to " + file.string(), {{"file", file.string()}})
    {
    }
};

struct tracer_options {
    /// Spans kept; at least 1.
    std::size_t ring = 2000;
    /// Empty: no file.
    std::filesystem::path file;
    /// Seeds the ids: a random number in the daemon, so that processes don't draw the same.
    std::uint64_t seed = 0;
};

/// Makes spans and keeps those that have ended. Loop thread only.
class tracer {
public:
    /// The time source must outlive the tracer. Throws trace_file_error, and invalid_value_error
    /// for an empty ring.
    tracer(const time_source& time, const tracer_options& options);

    /// Begins a trace of its own.
    [[nodiscard]] span start(std::string_view name);
    /// Begins a span below another, of this process or the one before. The name must be a literal.
    [[nodiscard]] span start(std::string_view name, const trace_context& parent);

    /// Ended spans as a JSON array, oldest first; of one trace alone unless `trace` is empty.
    [[nodiscard]] std::string json(const trace_id& trace = {}) const;
    /// Spans pushed out of the ring since the start.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    friend class span;
    void keep(span_record record, time_point began);
    [[nodiscard]] std::uint64_t draw_id() noexcept;

    const time_source& m_time;
    std::size_t m_capacity;
    std::uint64_t m_random_state;
    std::vector<span_record> m_ring;
    /// Where the oldest is, once the ring is full.
    std::size_t m_oldest = 0;
    std::uint64_t m_dropped = 0;
    std::ofstream m_file;
};

} // namespace plantaindoor
