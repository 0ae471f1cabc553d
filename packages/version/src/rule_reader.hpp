// Reads one rule's map into its compiled form. Used by rule_set only.
#pragma once

#include "plantaindoor/version/rule_set.hpp"

namespace plantaindoor::version {

/// Reads rules into a set, one after another. Not synchronised.
class rule_reader {
public:
    rule_reader(rule_set& into, const rule_checks& checks, std::vector<document_fault>& faults);

    /// Adds the rule unless it has a fault.
    void read(const rule_source& source);

private:
    void read_action(document_reader& in, rule_action& action);
    void read_waves(document_reader& in, rule_action& action);
    void read_loan(document_reader& in, rule_action& action);
    void read_instance(document_reader& in, rule_action& action);
    void read_class(document_reader& in, rule_action& action);
    rule_condition read_condition(document_reader& in);
    void read_leaf(document_reader& in, rule_fact fact, rule_condition& all);
    void read_hours(document_reader& in, rule_condition& all);
    void read_healthy(document_reader& in, rule_condition& all);
    void read_parts(document_reader& in, condition_kind kind, rule_condition& all);
    void read_negation(document_reader& in, rule_condition& all);
    void check_name(document_reader& in, const char* key, const std::string& name,
                    std::set<std::string> rule_names::*known);
    std::size_t slot_of(const fact_key& key);

    rule_set& m_set;
    const rule_checks& m_checks;
    std::vector<document_fault>& m_faults;
    std::string m_file;
};

} // namespace plantaindoor::version
