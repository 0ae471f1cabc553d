// Strongly typed identifiers, so that an instance's id can't be passed where a pool's is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace plantaindoor {

/// An identifier of one kind of thing. Value type; not synchronised.
template<class Tag>
class basic_id {
public:
    basic_id() = default;
    explicit basic_id(std::string value) : m_value(std::move(value)) {}

    /// The identifier as the operator wrote it.
    [[nodiscard]] const std::string& str() const noexcept { return m_value; }
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    friend auto operator<=>(const basic_id&, const basic_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const basic_id& id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using entry_id = basic_id<struct entry_tag>;
using instance_id = basic_id<struct instance_tag>;
using pool_id = basic_id<struct pool_tag>;
using service_id = basic_id<struct service_tag>;
using workspace_id = basic_id<struct workspace_tag>;
using team_id = basic_id<struct team_tag>;
using wave_id = basic_id<struct wave_tag>;
using job_id = basic_id<struct job_tag>;
using rule_id = basic_id<struct rule_tag>;
using request_id = basic_id<struct request_tag>;
using operation_id = basic_id<struct operation_tag>;
using rack_id = basic_id<struct rack_tag>;
using availability_zone_id = basic_id<struct availability_zone_tag>;

} // namespace plantaindoor

template<class Tag>
struct std::hash<plantaindoor::basic_id<Tag>> {
    std::size_t operator()(const plantaindoor::basic_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
