// Base of every typed failure. Each failure that a caller or operator can meet is one derived class
// with its figures as fields, so that it can be answered as JSON and never as a bare string.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindoor {

/// One named figure of a failure, printed in a typed error's JSON body.
struct error_field {
    std::string name;
    std::string value;

    friend bool operator==(const error_field&, const error_field&) = default;
};

/// A typed failure. Derived classes name their type and list their fields. Immutable once thrown.
class error : public std::runtime_error {
public:
    /// The failure's stable name in kebab case, for example "unknown-service".
    [[nodiscard]] std::string_view type() const noexcept { return m_type; }
    [[nodiscard]] const std::vector<error_field>& fields() const noexcept { return m_fields; }

protected:
    error(std::string_view type, const std::string& message, std::vector<error_field> fields)
        : std::runtime_error(message), m_type(type), m_fields(std::move(fields))
    {
    }

private:
    std::string m_type;
    std::vector<error_field> m_fields;
};

/// A figure is outside of what its place allows.
class invalid_value_error : public error {
public:
    invalid_value_error(const std::string& where, const std::string& value,
                        const std::string& expected)
        : error("invalid-value", where + ": " + value + " is not " + expected,
                {{"where", where}, {"value", value}, {"expected", expected}})
    {
    }
};

/// A reference names something that does not exist.
class not_found_error : public error {
public:
    not_found_error(const std::string& kind, const std::string& id)
        : error("unknown-" + kind, kind + " \"" + id + "\" does not exist",
                {{"kind", kind}, {"id", id}})
    {
    }
};

} // namespace plantaindoor
