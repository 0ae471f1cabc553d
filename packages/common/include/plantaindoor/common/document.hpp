// Checked reading of YAML documents: every fault is collected with its file, line, path, value and
// what was expected, so that an operator sees all of them at once.
#pragma once

#include "plantaindoor/common/enum_names.hpp"
#include "plantaindoor/common/error.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace plantaindoor {

enum class document_kind { empty, scalar, list, map };

struct document_member;

/// A parsed YAML node, apart from the YAML library. Immutable once parsed.
struct document_node {
    document_kind kind = document_kind::empty;
    /// Counted from 1; zero when unknown.
    int line = 0;
    /// Of a scalar, as written.
    std::string text;
    std::vector<document_node> items;
    std::vector<document_member> members;

    /// The member of this key, or nullptr. Thread-safe.
    [[nodiscard]] const document_node* find(std::string_view key) const;
};

/// One key of a map with its value.
struct document_member {
    std::string key;
    document_node value;
};

/// One thing that is wrong in a document.
struct document_fault {
    std::string file;
    int line = 0;
    std::string path;
    std::string value;
    std::string expected;

    friend bool operator==(const document_fault&, const document_fault&) = default;
};

/// "file:line: path: value is not expected".
[[nodiscard]] std::string to_string(const document_fault& fault);

/// A document has faults; all of them are listed.
class document_error : public error {
public:
    explicit document_error(std::vector<document_fault> faults);

    [[nodiscard]] const std::vector<document_fault>& faults() const noexcept { return m_faults; }

private:
    std::vector<document_fault> m_faults;
};

/// Parses YAML. Throws document_error with one fault where the text is not YAML, repeats a key, or
/// is nested too deeply. Thread-safe.
[[nodiscard]] document_node parse_document(const std::string& text, const std::string& file);

/// Writes a node as one line of YAML in flow style. Thread-safe.
[[nodiscard]] std::string to_flow_text(const document_node& node);

/// Inclusive bounds of a number.
template<class Number>
struct bounds {
    Number least = std::numeric_limits<Number>::lowest();
    Number most = std::numeric_limits<Number>::max();
};

/// Reads the members of one map, noting faults in a shared list. Every key that is not read by the
/// end is a fault. Not synchronised; the node and the list must outlive it.
class document_reader {
public:
    document_reader(const document_node& node, std::string path, std::string file,
                    std::vector<document_fault>& faults);

    /// Whether the member is there.
    [[nodiscard]] bool has(std::string_view key) const;

    /// The member's text, or the default where it is absent. An empty text is a fault.
    std::string text(std::string_view key,
                     const std::optional<std::string>& otherwise = std::nullopt);
    bool boolean(std::string_view key, std::optional<bool> otherwise = std::nullopt);

    /// An integer or floating point number within bounds.
    template<class Number>
    Number number(std::string_view key, std::optional<Number> otherwise = std::nullopt,
                  bounds<Number> within = {})
    {
        const auto value =
            read_number(key, otherwise.has_value(),
                        {static_cast<double>(within.least), static_cast<double>(within.most)},
                        std::is_integral_v<Number>);
        return value ? static_cast<Number>(*value) : otherwise.value_or(Number{});
    }

    /// A value by its name in the enum's table.
    template<class Enum>
    Enum named(std::string_view key, std::optional<Enum> otherwise = std::nullopt)
    {
        const document_node* const node = scalar(key, otherwise.has_value());
        if (node == nullptr) {
            return otherwise.value_or(Enum{});
        }
        const auto value = parse_enum<Enum>(node->text);
        if (!value) {
            fault(*node, std::string(key), expected_names<Enum>());
        }
        return value.value_or(Enum{});
    }

    /// Any member as it stands; nullptr and no fault where it is absent.
    const document_node* any(std::string_view key);
    /// The items of a list member; empty where it is absent.
    const std::vector<document_node>& list(std::string_view key);
    /// Reads a nested map; nothing happens where it is absent.
    void map(std::string_view key, const std::function<void(document_reader&)>& read);
    /// Reads each item of a list of maps.
    void each(std::string_view key, const std::function<void(document_reader&)>& read);
    /// Reads each item of a list of texts.
    std::vector<std::string> texts(std::string_view key);

    /// Notes a fault at a member, for checks beyond its form.
    void fault_at(std::string_view key, const std::string& expected);
    /// Notes a fault for every member that has not been read. Call last.
    void finish();

    [[nodiscard]] const document_node& node() const noexcept { return m_node; }
    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    const document_node* member(std::string_view key, bool optional);
    const document_node* scalar(std::string_view key, bool optional);
    std::optional<double> read_number(std::string_view key, bool optional, bounds<double> within,
                                      bool whole);
    void fault(const document_node& at, const std::string& key, const std::string& expected);
    [[nodiscard]] std::string path_of(const std::string& key) const;

    const document_node& m_node;
    std::string m_path;
    std::string m_file;
    std::vector<document_fault>& m_faults;
    std::set<std::string, std::less<>> m_read;
};

} // namespace plantaindoor
