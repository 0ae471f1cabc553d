#include "settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace plantaindoor::process {

namespace {

constexpr std::size_t max_name_length = 64;

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.';
    });
}

/// Converts a scalar's text to a setting's type, and says what would have been accepted.
template<class T>
struct converter;

template<>
struct converter<std::string> {
    static std::optional<std::string> convert(const std::string& text, const setting<std::string>&)
    {
        return is_name(text) ? std::optional(text) : std::nullopt;
    }
    static std::string expected(const setting<std::string>&)
    {
        return "a name of 1 to 64 letters, digits, '-', '_' or '.'";
    }
};

template<class Tag>
struct converter<basic_id<Tag>> {
    static std::optional<basic_id<Tag>> convert(const std::string& text,
                                                const setting<basic_id<Tag>>&)
    {
        return is_name(text) ? std::optional(basic_id<Tag>(text)) : std::nullopt;
    }
    static std::string expected(const setting<basic_id<Tag>>&)
    {
        return converter<std::string>::expected({});
    }
};

template<>
struct converter<std::filesystem::path> {
    using path = std::filesystem::path;
    static std::optional<path> convert(const std::string& text, const setting<path>&)
    {
        const bool usable = !text.empty() && text.find('\0') == std::string::npos;
        return usable ? std::optional(path(text)) : std::nullopt;
    }
    static std::string expected(const setting<path>&) { return "a file name"; }
};

template<>
struct converter<std::uint64_t> {
    static std::optional<std::uint64_t> convert(const std::string& text,
                                                const setting<std::uint64_t>& wanted)
    {
        std::uint64_t value = 0;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, value);
        const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
        return whole && value >= wanted.least && value <= wanted.most ? std::optional(value)
                                                                      : std::nullopt;
    }
    static std::string expected(const setting<std::uint64_t>& wanted)
    {
        return "a whole number from " + std::to_string(wanted.least) + " to " +
               std::to_string(wanted.most);
    }
};

template<>
struct converter<milliseconds> {
    static setting<std::uint64_t> count_of(const setting<milliseconds>& wanted)
    {
        return {.path = wanted.path, .least = wanted.least, .most = wanted.most};
    }
    static std::optional<milliseconds> convert(const std::string& text,
                                               const setting<milliseconds>& wanted)
    {
        const auto count = converter<std::uint64_t>::convert(text, count_of(wanted));
        return count ? std::optional(milliseconds(*count)) : std::nullopt;
    }
    static std::string expected(const setting<milliseconds>& wanted)
    {
        return converter<std::uint64_t>::expected(count_of(wanted)) + " (milliseconds)";
    }
};

template<>
struct converter<endpoint> {
    static std::optional<endpoint> convert(const std::string& text, const setting<endpoint>& wanted)
    {
        auto value = connection::parse_endpoint(text);
        return value && value->port >= wanted.least ? value : std::nullopt;
    }
    static std::string expected(const setting<endpoint>& wanted)
    {
        return "a numeric address and a port from " + std::to_string(wanted.least) +
               " to 65535, as in 10.0.0.1:8080";
    }
};

template<class Enum>
requires std::is_enum_v<Enum>
struct converter<Enum> {
    static std::optional<Enum> convert(const std::string& text, const setting<Enum>&)
    {
        return parse_enum<Enum>(text);
    }
    static std::string expected(const setting<Enum>&) { return expected_names<Enum>(); }
};

/// The value of a key, undefined where there is none. Unlike operator[] it accepts any node.
YAML::Node child(const YAML::Node& map, std::string_view key)
{
    if (map.IsMap()) {
        for (const auto& each : map) {
            if (each.first.IsScalar() && each.first.Scalar() == key) {
                return each.second;
            }
        }
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

std::string shown(const YAML::Node& node)
{
    if (!node.IsDefined()) {
        return "";
    }
    if (node.IsScalar()) {
        return node.Scalar();
    }
    return node.IsMap() ? "a map" : node.IsSequence() ? "a list" : "nothing";
}

std::size_t line_of(const YAML::Node& node)
{
    const int line = node.IsDefined() ? node.Mark().line : -1;
    return line < 0 ? 0 : static_cast<std::size_t>(line) + 1;
}

} // namespace

settings_reader::settings_reader(const YAML::Node& root, std::string file)
    : m_root(root), m_file(std::move(file))
{
}

template<class T>
T settings_reader::get(const setting<T>& wanted)
{
    const YAML::Node node = find(wanted.path);
    if (!node.IsDefined()) {
        if (!wanted.fallback) {
            fault_at(node, wanted.path, converter<T>::expected(wanted));
        }
        return wanted.fallback.value_or(T{});
    }
    const auto value =
        node.IsScalar() ? converter<T>::convert(node.Scalar(), wanted) : std::nullopt;
    if (!value) {
        fault_at(node, wanted.path, converter<T>::expected(wanted));
    }
    return value.value_or(T{});
}

template std::string settings_reader::get(const setting<std::string>&);
template entry_id settings_reader::get(const setting<entry_id>&);
template availability_zone_id settings_reader::get(const setting<availability_zone_id>&);
template std::filesystem::path settings_reader::get(const setting<std::filesystem::path>&);
template std::uint64_t settings_reader::get(const setting<std::uint64_t>&);
template milliseconds settings_reader::get(const setting<milliseconds>&);
template endpoint settings_reader::get(const setting<endpoint>&);
template log_format settings_reader::get(const setting<log_format>&);
template log_level settings_reader::get(const setting<log_level>&);
template wave_saving settings_reader::get(const setting<wave_saving>&);
template version::failure_domain settings_reader::get(const setting<version::failure_domain>&);

std::vector<endpoint> settings_reader::get_list(const setting<endpoint>& wanted)
{
    std::vector<endpoint> all;
    const YAML::Node node = find(wanted.path);
    if (!node.IsDefined()) {
        return all;
    }
    if (!node.IsSequence()) {
        fault_at(node, wanted.path, "a list");
        return all;
    }
    std::size_t index = 0;
    for (const auto& each : node) {
        const auto value =
            each.IsScalar() ? converter<endpoint>::convert(each.Scalar(), wanted) : std::nullopt;
        if (value) {
            all.push_back(*value);
        }
        else {
            fault_at(each, std::string(wanted.path) + "[" + std::to_string(index) + "]",
                     converter<endpoint>::expected(wanted));
        }
        ++index;
    }
    return all;
}

void settings_reader::fault(std::string_view path, std::string value, std::string expected)
{
    const YAML::Node node = find(path);
    m_faults.push_back({.file = m_file,
                        .line = line_of(node),
                        .path = std::string(path),
                        .value = std::move(value),
                        .expected = std::move(expected)});
}

void settings_reader::check_keys()
{
    if (m_root.IsMap()) {
        check_keys_of(m_root, "");
    }
    else if (m_root.IsDefined() && !m_root.IsNull()) {
        fault_at(m_root, "", "a map of settings");
    }
}

YAML::Node settings_reader::find(std::string_view path)
{
    YAML::Node node = m_root;
    for (std::size_t start = 0; start < path.size();) {
        const std::size_t end = std::min(path.find('.', start), path.size());
        m_known.insert(std::string(path.substr(0, end)));
        node.reset(child(node, path.substr(start, end - start)));
        if (!node.IsDefined()) {
            m_known.insert(std::string(path));
            break;
        }
        start = end + 1;
    }
    return node;
}

void settings_reader::fault_at(const YAML::Node& node, std::string_view path, std::string expected)
{
    m_faults.push_back({.file = m_file,
                        .line = line_of(node),
                        .path = std::string(path),
                        .value = shown(node),
                        .expected = std::move(expected)});
}

void settings_reader::check_keys_of(const YAML::Node& map, const std::string& prefix)
{
    std::set<std::string> seen;
    for (const auto& each : map) {
        const std::string key = shown(each.first);
        const std::string path = prefix + key;
        if (!each.first.IsScalar() || !m_known.contains(path)) {
            fault_at(each.first, path, "no such key");
            continue;
        }
        if (!seen.insert(key).second) {
            fault_at(each.first, path, "the key once only");
        }
        const auto below = m_known.upper_bound(path + ".");
        const bool is_group = below != m_known.end() && below->starts_with(path + ".");
        if (is_group && each.second.IsMap()) {
            check_keys_of(each.second, path + ".");
        }
        else if (is_group) {
            fault_at(each.second, path, "a map");
        }
    }
}

} // namespace plantaindoor::process
