// Decides which rule acts: facts and time in, the first rule in effect out. Hysteresis keeps facts
// that flap from making the actions flap. Pure: no input or output, no clock.
#pragma once

#include "plantaindoor/version/rule_set.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace plantaindoor::version {

using rule_set_ptr = std::shared_ptr<const rule_set>;

/// How one rule stands after a decision.
struct rule_standing {
    truth condition = truth::no;
    /// The condition held for its time, and has not been gone for its clear time since.
    bool in_effect = false;
    /// The condition was seen to be gone for the whole clear time.
    bool cleared = false;
    /// How long the condition has been as it is.
    milliseconds steady{0};

    friend bool operator==(const rule_standing&, const rule_standing&) = default;
};

struct rule_decision {
    /// Index of the first rule in effect.
    std::optional<std::size_t> decided;
    /// One for each rule, in order.
    std::vector<rule_standing> standings;

    friend bool operator==(const rule_decision&, const rule_decision&) = default;
};

/// Evaluates a set of rules again and again. The same facts at the same times lead to the same
/// decisions on every entry. Not synchronised.
class rule_engine {
public:
    struct options {
        /// After a longer pause between decisions, times count from the beginning.
        milliseconds max_gap{5000};
    };

    rule_engine() : rule_engine(options{}) {}
    explicit rule_engine(options how) : m_options(how) {}

    /// Takes the rules of another version. Rules whose text is the same keep their standing.
    void use(rule_set_ptr rules);
    /// Decides. `now` must not go back.
    [[nodiscard]] rule_decision decide(const rule_facts& facts, time_point now);
    /// Never null.
    [[nodiscard]] const rule_set_ptr& rules() const noexcept { return m_rules; }

private:
    struct standing {
        truth condition = truth::unknown;
        time_point since{};
        bool in_effect = false;
    };

    rule_standing step(const compiled_rule& rule, standing& state, truth condition, time_point now);

    options m_options;
    rule_set_ptr m_rules = std::make_shared<rule_set>();
    std::vector<standing> m_standings;
    std::optional<time_point> m_last;
};

} // namespace plantaindoor::version
