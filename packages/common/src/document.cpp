#include "plantaindoor/common/document.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <yaml-cpp/yaml.h>

namespace plantaindoor {

namespace {

constexpr int deepest_nesting = 32;

/// Turns the YAML library's nodes into ours.
class node_converter {
public:
    explicit node_converter(std::string file) : m_file(std::move(file)) {}

    // Recursion is bounded by deepest_nesting.
    document_node convert(const YAML::Node& in, const std::string& path, int depth) const
    {
        document_node out{.line = in.Mark().line + 1};
        if (depth > deepest_nesting) {
            throw failure(out.line, path, "nested at most 32 deep");
        }
        if (in.IsScalar()) {
            out.kind = document_kind::scalar;
            out.text = in.Scalar();
        }
        else if (in.IsSequence()) {
            out.kind = document_kind::list;
            for (const YAML::Node& item : in) {
                out.items.push_back(convert(item, path + "[]", depth + 1));
            }
        }
        else if (in.IsMap()) {
            out.kind = document_kind::map;
            convert_members(in, path, depth, out);
        }
        return out;
    }

    [[nodiscard]] document_error failure(int line, const std::string& path,
                                         const std::string& expected) const
    {
        return document_error({{.file = m_file, .line = line, .path = path, .expected = expected}});
    }

private:
    void convert_members(const YAML::Node& in, const std::string& path, int depth,
                         document_node& out) const
    {
        for (const auto& member : in) {
            const int line = member.first.Mark().line + 1;
            if (!member.first.IsScalar()) {
                throw failure(line, path, "a map with plain keys");
            }
            const std::string& key = member.first.Scalar();
            if (out.find(key) != nullptr) {
                throw failure(line, path + "." + key, "given once");
            }
            out.members.push_back({key, convert(member.second, path + "." + key, depth + 1)});
        }
    }

    std::string m_file;
};

void emit(YAML::Emitter& out, const document_node& node)
{
    switch (node.kind) {
    case document_kind::empty:
        out << YAML::Null;
        break;
    case document_kind::scalar:
        out << node.text;
        break;
    case document_kind::list:
        out << YAML::Flow << YAML::BeginSeq;
        for (const document_node& item : node.items) {
            emit(out, item);
        }
        out << YAML::EndSeq;
        break;
    case document_kind::map:
        out << YAML::Flow << YAML::BeginMap;
        for (const auto& [key, value] : node.members) {
            out << YAML::Key << key << YAML::Value;
            emit(out, value);
        }
        out << YAML::EndMap;
        break;
    }
}

std::string summary(const std::vector<document_fault>& faults)
{
    std::string all;
    for (const document_fault& fault : faults) {
        all += (all.empty() ? "" : "\n") + to_string(fault);
    }
    return all;
}

std::vector<error_field> fields_of(const std::vector<document_fault>& faults)
{
    std::vector<error_field> fields;
    for (const document_fault& fault : faults) {
        fields.push_back({"fault", to_string(fault)});
    }
    return fields;
}

std::string printed(double value)
{
    if (value == std::floor(value) && std::abs(value) < 1e15) {
        return std::to_string(static_cast<std::int64_t>(value));
    }
    return std::to_string(value);
}

} // namespace

const document_node* document_node::find(std::string_view key) const
{
    const auto found = std::ranges::find(members, key, &document_member::key);
    return found == members.end() ? nullptr : &found->value;
}

std::string to_string(const document_fault& fault)
{
    const std::string where = fault.file + ":" + std::to_string(fault.line) + ": " + fault.path;
    return where + ": \"" + fault.value + "\" is not as expected: " + fault.expected;
}

document_error::document_error(std::vector<document_fault> faults)
    : error("invalid-document", summary(faults), fields_of(faults)), m_faults(std::move(faults))
{
}

document_node parse_document(const std::string& text, const std::string& file)
{
    const node_converter converter(file);
    try {
        return converter.convert(YAML::Load(text), "", 0);
    }
    catch (const YAML::Exception& failure) {
        throw converter.failure(failure.mark.line + 1, "", "YAML: " + failure.msg);
    }
}

std::string to_flow_text(const document_node& node)
{
    YAML::Emitter out;
    emit(out, node);
    return out.c_str();
}

document_reader::document_reader(const document_node& node, std::string path, std::string file,
                                 std::vector<document_fault>& faults)
    : m_node(node), m_path(std::move(path)), m_file(std::move(file)), m_faults(faults)
{
    if (node.kind != document_kind::map && node.kind != document_kind::empty) {
        m_faults.push_back({.file = m_file,
                            .line = node.line,
                            .path = m_path,
                            .value = node.text,
                            .expected = "a map"});
    }
}

bool document_reader::has(std::string_view key) const
{
    return m_node.find(key) != nullptr;
}

std::string document_reader::text(std::string_view key, const std::optional<std::string>& otherwise)
{
    const document_node* const node = scalar(key, otherwise.has_value());
    if (node == nullptr) {
        return otherwise.value_or("");
    }
    if (node->text.empty()) {
        fault(*node, std::string(key), "a text that is not empty");
    }
    return node->text;
}

bool document_reader::boolean(std::string_view key, std::optional<bool> otherwise)
{
    const document_node* const node = scalar(key, otherwise.has_value());
    if (node == nullptr) {
        return otherwise.value_or(false);
    }
    if (node->text != "true" && node->text != "false") {
        fault(*node, std::string(key), "true or false");
    }
    return node->text == "true";
}

std::optional<double> document_reader::read_number(std::string_view key, bool optional,
                                                   bounds<double> within, bool whole)
{
    const document_node* const node = scalar(key, optional);
    if (node == nullptr) {
        return std::nullopt;
    }
    double value = 0;
    const char* const last = node->text.data() + node->text.size();
    const auto [end, code] = std::from_chars(node->text.data(), last, value);
    const bool is_number = code == std::errc{} && end == last && std::isfinite(value);
    const bool fits = is_number && value >= within.least && value <= within.most &&
                      (!whole || value == std::floor(value));
    if (!fits) {
        fault(*node, std::string(key),
              std::string(whole ? "a whole number" : "a number") + " from " +
                  printed(within.least) + " to " + printed(within.most));
        return std::nullopt;
    }
    return value;
}

const document_node* document_reader::any(std::string_view key)
{
    return member(key, true);
}

const std::vector<document_node>& document_reader::list(std::string_view key)
{
    static const std::vector<document_node> none;
    const document_node* const node = member(key, true);
    if (node == nullptr || node->kind == document_kind::empty) {
        return none;
    }
    if (node->kind != document_kind::list) {
        fault(*node, std::string(key), "a list");
    }
    return node->items;
}

void document_reader::map(std::string_view key, const std::function<void(document_reader&)>& read)
{
    const document_node* const node = member(key, true);
    if (node != nullptr) {
        document_reader nested(*node, path_of(std::string(key)), m_file, m_faults);
        read(nested);
        nested.finish();
    }
}

void document_reader::each(std::string_view key, const std::function<void(document_reader&)>& read)
{
    std::size_t index = 0;
    for (const document_node& item : list(key)) {
        const std::string path = path_of(std::string(key)) + "[" + std::to_string(index++) + "]";
        document_reader nested(item, path, m_file, m_faults);
        read(nested);
        nested.finish();
    }
}

std::vector<std::string> document_reader::texts(std::string_view key)
{
    std::vector<std::string> all;
    for (const document_node& item : list(key)) {
        if (item.kind != document_kind::scalar || item.text.empty()) {
            fault(item, std::string(key), "a list of texts");
        }
        all.push_back(item.text);
    }
    return all;
}

void document_reader::fault_at(std::string_view key, const std::string& expected)
{
    const document_node* const node = m_node.find(key);
    fault(node == nullptr ? m_node : *node, std::string(key), expected);
}

void document_reader::finish()
{
    for (const auto& [key, value] : m_node.members) {
        if (!m_read.contains(key)) {
            fault(value, key, "a known key");
        }
    }
}

const document_node* document_reader::member(std::string_view key, bool optional)
{
    m_read.emplace(key);
    const document_node* const node = m_node.find(key);
    if (node == nullptr && !optional) {
        m_faults.push_back({.file = m_file,
                            .line = m_node.line,
                            .path = path_of(std::string(key)),
                            .expected = "given"});
    }
    return node;
}

const document_node* document_reader::scalar(std::string_view key, bool optional)
{
    const document_node* const node = member(key, optional);
    if (node != nullptr && node->kind != document_kind::scalar) {
        fault(*node, std::string(key), "a single value");
        return nullptr;
    }
    return node;
}

void document_reader::fault(const document_node& at, const std::string& key,
                            const std::string& expected)
{
    m_faults.push_back({.file = m_file,
                        .line = at.line,
                        .path = path_of(key),
                        .value = at.text,
                        .expected = expected});
}

std::string document_reader::path_of(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

} // namespace plantaindoor
