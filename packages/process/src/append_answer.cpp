#include "plantaindoor/process/append_answer.hpp"

#include "plantaindoor/version/rule_set.hpp"

namespace plantaindoor::process {

void respond_appended(const connection::operator_responder& respond,
                      const version::append_result& result,
                      const std::function<std::string()>& body)
{
    switch (result.outcome) {
    case version::append_outcome::accepted:
        respond.json(body());
        break;
    case version::append_outcome::refused:
        respond.fail(result.refusal);
        break;
    default:
        respond.fail(connection::table_unavailable_error(std::string(name_of(result.outcome))));
    }
}

std::vector<std::string> warning_lines(const std::vector<version::rule>& rules)
{
    std::vector<std::string> lines;
    for (const version::rule_warning& each : version::rule_set(rules).warnings()) {
        lines.push_back(to_string(each));
    }
    return lines;
}

} // namespace plantaindoor::process
