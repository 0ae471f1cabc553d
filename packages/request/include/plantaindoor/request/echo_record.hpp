// What targets' answers show of themselves: whether they name the request, so that one which nobody
// asked for can be told on a connection that was used before, and whether connections hold.
#pragma once

#include "plantaindoor/common/ids.hpp"

#include <cstddef>
#include <unordered_map>

namespace plantaindoor::request {

/// Whether a target's answers carry the request's id.
enum class answer_naming {
    unseen, ///< no answer came yet
    always, ///< an answer without it isn't the request's
    never,
    mixed, ///< which of its answers carry it is not known, and that is for good
};

struct echo_record_options {
    /// Past that many targets all are forgotten and learnt anew.
    std::size_t most_targets = 16384;
    /// After a used connection ended under a request, so many answers must come first. It bounds
    /// the share of requests that a target which closes connections at any time can make unknown.
    std::size_t answers_after_break = 1000;
};

/// Not synchronised.
class echo_record {
public:
    explicit echo_record(echo_record_options options = {}) : m_options(options) {}

    /// A whole answer of the target came, with the request's id or without any.
    void answered(const instance_id& target, bool echoed);
    /// A used connection to the target ended under a request.
    void broke(const instance_id& target);
    [[nodiscard]] answer_naming naming_of(const instance_id& target) const;
    /// Whether a used connection to the target may carry a request that must run only once: its
    /// answers always name the request, and enough of them came since the last break.
    [[nodiscard]] bool reusable(const instance_id& target) const;

private:
    struct behaviour {
        answer_naming naming = answer_naming::unseen;
        std::size_t answers_needed = 1;
    };

    behaviour& behaviour_of(const instance_id& target);

    echo_record_options m_options;
    std::unordered_map<instance_id, behaviour> m_targets;
};

} // namespace plantaindoor::request
