#include "plantaindoor/request/echo_record.hpp"

namespace plantaindoor::request {

echo_record::behaviour& echo_record::behaviour_of(const instance_id& target)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end()) {
        return known->second;
    }
    if (m_targets.size() >= m_options.most_targets) {
        m_targets.clear();
    }
    return m_targets[target];
}

void echo_record::answered(const instance_id& target, bool echoed)
{
    behaviour& seen = behaviour_of(target);
    const answer_naming now = echoed ? answer_naming::always : answer_naming::never;
    const bool same = seen.naming == answer_naming::unseen || seen.naming == now;
    seen.naming = same ? now : answer_naming::mixed;
    if (seen.answers_needed > 0) {
        --seen.answers_needed;
    }
}

void echo_record::broke(const instance_id& target)
{
    behaviour_of(target).answers_needed = m_options.answers_after_break;
}

answer_naming echo_record::naming_of(const instance_id& target) const
{
    const auto known = m_targets.find(target);
    return known == m_targets.end() ? answer_naming::unseen : known->second.naming;
}

bool echo_record::reusable(const instance_id& target) const
{
    const auto known = m_targets.find(target);
    return known != m_targets.end() && known->second.naming == answer_naming::always &&
           known->second.answers_needed == 0;
}

} // namespace plantaindoor::request
