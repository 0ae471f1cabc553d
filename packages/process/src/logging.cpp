#include "plantaindoor/process/logging.hpp"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace plantaindoor::process {

namespace {

namespace log = boost::log;

constexpr std::size_t max_waiting_records = 4096;
constexpr int nothing_enabled = 1000;

using backend = log::sinks::text_ostream_backend;
using frontend = log::sinks::asynchronous_sink<
    backend, log::sinks::bounded_fifo_queue<max_waiting_records, log::sinks::drop_on_overflow>>;
using source = log::sources::severity_channel_logger_mt<log_level, std::string>;

/// The least level that is written. Boost.Log's core is one for the process, and so is this.
std::atomic<int> least_enabled = nothing_enabled;

source& process_source()
{
    static source instance;
    return instance;
}

struct record_fields {
    std::string time;
    std::string_view level;
    std::string part;
    std::string sentence;
};

record_fields fields_of(const log::record_view& record)
{
    using boost::posix_time::ptime;
    record_fields fields;
    if (const auto time = log::extract<ptime>("TimeStamp", record)) {
        fields.time = boost::posix_time::to_iso_extended_string(*time) + "Z";
    }
    if (const auto level = log::extract<log_level>("Severity", record)) {
        fields.level = name_of(*level);
    }
    if (const auto part = log::extract<std::string>("Channel", record)) {
        fields.part = *part;
    }
    if (const auto sentence = log::extract<std::string>("Message", record)) {
        fields.sentence = *sentence;
    }
    return fields;
}

/// Keeps a record on one line, whatever a caller's bytes put into its sentence.
std::string one_line(std::string text)
{
    for (char& each : text) {
        const auto byte = static_cast<unsigned char>(each);
        each = byte < 0x20 || byte == 0x7f ? ' ' : each;
    }
    return text;
}

void write_human(const log::record_view& record, log::formatting_ostream& out)
{
    const record_fields fields = fields_of(record);
    out << fields.time << ' ' << fields.level << ' ' << fields.part << ": "
        << one_line(fields.sentence);
}

void write_json(const log::record_view& record, log::formatting_ostream& out)
{
    using nlohmann::json;
    const record_fields fields = fields_of(record);
    out << json{{"time", fields.time},
                {"level", fields.level},
                {"part", fields.part},
                {"message", fields.sentence}}
               .dump(-1, ' ', false, json::error_handler_t::replace);
}

boost::shared_ptr<backend> make_backend(const log_options& options)
{
    auto made = boost::make_shared<backend>();
    std::ostream* stream = options.stream == nullptr ? &std::clog : options.stream;
    made->add_stream(boost::shared_ptr<std::ostream>(stream, boost::null_deleter()));
    made->auto_flush(true);
    return made;
}

} // namespace

class log_output::sink {
public:
    explicit sink(const log_options& options)
        : m_frontend(boost::make_shared<frontend>(make_backend(options)))
    {
        m_frontend->set_formatter(options.format == log_format::json ? &write_json : &write_human);
        log::core::get()->add_global_attribute("TimeStamp", log::attributes::utc_clock());
        log::core::get()->add_sink(m_frontend);
    }
    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;
    ~sink()
    {
        log::core::get()->remove_sink(m_frontend);
        m_frontend->stop();
        m_frontend->flush();
    }

private:
    boost::shared_ptr<frontend> m_frontend;
};

log_output::log_output(const log_options& options) : m_sink(std::make_unique<sink>(options))
{
    least_enabled = static_cast<int>(options.level);
}

log_output::~log_output()
{
    least_enabled = nothing_enabled;
}

bool log_part::enabled(log_level level) noexcept
{
    return static_cast<int>(level) >= least_enabled.load(std::memory_order_relaxed);
}

void log_part::write(log_level level, std::string_view sentence) const noexcept
{
    if (!enabled(level)) {
        return;
    }
    try {
        BOOST_LOG_CHANNEL_SEV(process_source(), std::string(m_name), level) << sentence;
    }
    catch (const std::exception&) {
        // A record that can't be written is dropped: logging must not fail what it reports on.
        return;
    }
}

} // namespace plantaindoor::process
