// The operators' when-then rules, compiled once per version. Every fault is collected with its
// place; rules that can never decide, or that contradict one another, are warned about.
#pragma once

#include "plantaindoor/common/document.hpp"
#include "plantaindoor/version/rule_facts.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantaindoor::version {

/// Whether a condition holds; unknown where a fact that decides it is.
enum class truth { no, unknown, yes };

enum class condition_kind { range, all, any, negation };

/// One node of a compiled condition.
struct rule_condition {
    condition_kind kind = condition_kind::all;
    /// Of a range: the index of its fact in rule_set::facts(), and the inclusive bounds.
    std::size_t slot = 0;
    double least = std::numeric_limits<double>::lowest();
    double most = std::numeric_limits<double>::max();
    std::vector<rule_condition> parts;
};

enum class rule_verb {
    hold,
    resume,
    abort,
    lend,
    give_back,
    throttle,
    checkpoint,
    stop,
    quarantine,
    refuse,
    undrain,
};

/// What a rule does. Only the verb's own fields are set.
struct rule_action {
    rule_verb verb = rule_verb::hold;
    /// Of hold, resume and abort; empty for every wave.
    wave_id wave;
    /// Of lend: the lender and the borrower. Of give_back: the borrower and the lender.
    pool_id from;
    pool_id to;
    std::uint32_t count = 1;
    /// Of lend: how long the loan lasts.
    seconds term{0};
    /// Of quarantine and undrain.
    instance_id instance;
    /// Of throttle, checkpoint, stop and refuse.
    priority work_class = priority::background;

    friend bool operator==(const rule_action&, const rule_action&) = default;
};

/// "lend 2 from spare to checks". Thread-safe.
[[nodiscard]] std::string to_string(const rule_action& action);

struct compiled_rule {
    rule_id id;
    std::string text;
    rule_condition when;
    rule_action then;
    /// How long the condition must hold before the rule acts.
    seconds for_time{0};
    /// How long the condition must be gone before the rule stops acting.
    seconds clear_time{0};
};

enum class rule_flaw {
    unreachable, ///< whenever it holds, an earlier rule holds too
    never_holds, ///< no facts satisfy its condition
    conflict,    ///< it may hold together with an earlier rule that does the opposite
};

struct rule_warning {
    rule_id rule;
    rule_flaw flaw = rule_flaw::unreachable;
    /// The earlier rule, if there is one.
    rule_id other;

    friend bool operator==(const rule_warning&, const rule_warning&) = default;
};

/// One line for operators. Thread-safe.
[[nodiscard]] std::string to_string(const rule_warning& warning);

/// Names that rules may refer to.
struct rule_names {
    std::set<std::string> pools;
    std::set<std::string> services;
    std::set<std::string> instances;
};

struct rule_source {
    /// One rule's map, with its lines.
    const document_node* node = nullptr;
    std::string path;
    std::string file;
};

struct rule_checks {
    /// References are not checked without it.
    const rule_names* names = nullptr;
};

/// An ordered list of compiled rules. Immutable; thread-safe.
class rule_set {
public:
    rule_set() = default;

    /// Compiles rules from a document; appends every fault of every rule to the list, and leaves a
    /// faulty rule out.
    rule_set(const std::vector<rule_source>& sources, const rule_checks& checks,
             std::vector<document_fault>& faults);
    /// Compiles the rules of an accepted version. Throws document_error with every fault.
    explicit rule_set(const std::vector<rule>& rules, const rule_checks& checks = {});

    [[nodiscard]] const std::vector<compiled_rule>& rules() const noexcept { return m_rules; }
    /// The facts that any rule asks for.
    [[nodiscard]] const std::vector<fact_key>& facts() const noexcept { return m_facts; }

    /// The values of facts(), in their order.
    using bound_facts = std::vector<std::optional<double>>;
    [[nodiscard]] bound_facts bind(const rule_facts& facts) const;
    [[nodiscard]] truth evaluate(const compiled_rule& rule, const bound_facts& facts) const;
    /// The parts of the condition that don't hold: "lost_zones is 0, must be at least 1".
    [[nodiscard]] std::string why_not(const compiled_rule& rule, const bound_facts& facts) const;
    /// The facts that the rule asks for.
    [[nodiscard]] std::vector<std::size_t> slots_of(const compiled_rule& rule) const;

    /// What an operator should know; pairs of rules over too many facts to try are left out.
    [[nodiscard]] std::vector<rule_warning> warnings() const;

private:
    friend class rule_reader;

    std::vector<compiled_rule> m_rules;
    std::vector<fact_key> m_facts;
};

} // namespace plantaindoor::version

namespace plantaindoor {

template<>
struct enum_names<version::truth> {
    static constexpr std::array<enum_name<version::truth>, 3> table{{
        {version::truth::no, "no"},
        {version::truth::unknown, "unknown"},
        {version::truth::yes, "yes"},
    }};
};

template<>
struct enum_names<version::rule_verb> {
    static constexpr std::array<enum_name<version::rule_verb>, 11> table{{
        {version::rule_verb::hold, "hold"},
        {version::rule_verb::resume, "resume"},
        {version::rule_verb::abort, "abort"},
        {version::rule_verb::lend, "lend"},
        {version::rule_verb::give_back, "return"},
        {version::rule_verb::throttle, "throttle"},
        {version::rule_verb::checkpoint, "checkpoint"},
        {version::rule_verb::stop, "stop"},
        {version::rule_verb::quarantine, "quarantine"},
        {version::rule_verb::refuse, "refuse"},
        {version::rule_verb::undrain, "undrain"},
    }};
};

template<>
struct enum_names<version::rule_flaw> {
    static constexpr std::array<enum_name<version::rule_flaw>, 3> table{{
        {version::rule_flaw::unreachable, "unreachable"},
        {version::rule_flaw::never_holds, "never-holds"},
        {version::rule_flaw::conflict, "conflict"},
    }};
};

} // namespace plantaindoor
