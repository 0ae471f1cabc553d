// Rules interpreted straight from their document at each evaluation, as plainly as possible.
#pragma once

#include "plantaindoor/common/document.hpp"
#include "plantaindoor/version/rule_facts.hpp"

#include <optional>
#include <string>

namespace plantaindoor::version::naive {

using maybe = std::optional<bool>;

inline maybe in_bounds(const rule_facts& facts, const fact_key& key, const document_node& bounds)
{
    const auto fact = facts.find(key);
    if (fact == facts.end()) {
        return std::nullopt;
    }
    const auto* const least = bounds.find("at_least");
    const auto* const most = bounds.find("at_most");
    return (least == nullptr || fact->second >= std::stod(least->text)) &&
           (most == nullptr || fact->second <= std::stod(most->text));
}

inline maybe both(maybe one, maybe other)
{
    if (one == false || other == false) {
        return false;
    }
    return one && other ? maybe(true) : std::nullopt;
}

inline maybe negated(maybe value)
{
    return value ? maybe(!*value) : std::nullopt;
}

inline maybe holds(const document_node& condition, const rule_facts& facts);

inline maybe member_holds(const document_member& member, const rule_facts& facts)
{
    const document_node& value = member.value;
    if (member.key == "all" || member.key == "any") {
        const bool any = member.key == "any";
        maybe result = true;
        for (const document_node& part : value.items) {
            const maybe held = holds(part, facts);
            result = both(result, any ? negated(held) : held);
        }
        return any ? negated(result) : result;
    }
    if (member.key == "not") {
        return negated(holds(value, facts));
    }
    if (member.key == "table_down") {
        const auto fact = facts.find({rule_fact::table_down, ""});
        return fact == facts.end() ? std::nullopt
                                   : maybe((fact->second == 1) == (value.text == "true"));
    }
    if (member.key == "hour") {
        const auto fact = facts.find({rule_fact::hour, ""});
        if (fact == facts.end()) {
            return std::nullopt;
        }
        for (int hour = std::stoi(value.find("from")->text);
             hour % 24 != std::stoi(value.find("to")->text) % 24; ++hour) {
            if (hour % 24 == static_cast<int>(fact->second)) {
                return true;
            }
        }
        return false;
    }
    if (member.key == "healthy_percent") {
        const auto* const pool = value.find("pool");
        const fact_key key =
            pool != nullptr ? fact_key{rule_fact::pool_healthy, pool->text}
                            : fact_key{rule_fact::service_healthy, value.find("service")->text};
        return in_bounds(facts, key, value);
    }
    return in_bounds(facts, {*parse_enum<rule_fact>(member.key), ""}, value);
}

inline maybe holds(const document_node& condition, const rule_facts& facts)
{
    maybe result = true;
    for (const document_member& member : condition.members) {
        result = both(result, member_holds(member, facts));
    }
    return result;
}

} // namespace plantaindoor::version::naive
