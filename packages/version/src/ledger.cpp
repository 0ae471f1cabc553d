#include "plantaindoor/version/ledger.hpp"

#include <algorithm>

namespace plantaindoor::version {

namespace {

constexpr std::uint32_t whole_percent = 100;

std::vector<error_field> fields_of(const service_figures& figures)
{
    return {{"service", figures.service.str()},
            {"instances", std::to_string(figures.instances)},
            {"admitted", std::to_string(figures.admitted)},
            {"out", std::to_string(figures.out)},
            {"budget", std::to_string(figures.budget)},
            {"largest_domain", std::to_string(figures.largest_domain)}};
}

std::vector<error_field> fields_of(const service_figures& figures, std::uint32_t asked)
{
    auto fields = fields_of(figures);
    fields.push_back({"asked", std::to_string(asked)});
    return fields;
}

std::string refusal_text(const service_figures& figures, std::uint32_t asked)
{
    return "service \"" + figures.service.str() + "\" has " + std::to_string(figures.admitted) +
           " admitted, must keep " + std::to_string(figures.budget + figures.largest_domain) +
           ", and was asked for " + std::to_string(asked);
}

std::uint32_t required(const availability_budget& budget, std::uint32_t instances)
{
    if (budget.unit == budget_unit::count) {
        return budget.minimum;
    }
    const std::uint64_t share = std::uint64_t{budget.minimum} * instances;
    return static_cast<std::uint32_t>((share + whole_percent - 1) / whole_percent);
}

/// Racks are told apart within their availability zone.
std::string domain_of(const instance& subject, failure_domain kind)
{
    if (kind == failure_domain::availability_zone) {
        return subject.zone.str();
    }
    return subject.zone.str() + "/" + subject.rack.str();
}

std::uint32_t largest(const std::map<std::string, std::uint32_t>& by_domain)
{
    std::uint32_t most = 0;
    for (const auto& [domain, admitted] : by_domain) {
        most = std::max(most, admitted);
    }
    return most;
}

} // namespace

budget_refusal::budget_refusal(const service_figures& figures, std::uint32_t asked)
    : error("breaks-budget", refusal_text(figures, asked), fields_of(figures, asked)),
      m_figures(figures)
{
}

budget_larger_than_pool_error::budget_larger_than_pool_error(const service_figures& figures)
    : error("budget-larger-than-pool",
            "service \"" + figures.service.str() + "\" asks for " +
                std::to_string(figures.budget + figures.largest_domain) + " of " +
                std::to_string(figures.instances) + " instances",
            fields_of(figures))
{
}

ledger::ledger(const fleet& whole, lost_instances lost) : m_lost(std::move(lost))
{
    for (const auto& [id, each] : whole.services) {
        for (const pool_id& pool : std::set(each.pools.begin(), each.pools.end())) {
            m_by_pool[pool].push_back(m_accounts.size());
        }
        m_accounts.push_back({.figures = {.service = id}, .survive = each.budget.survive});
    }
    for (const auto& [id, each] : whole.instances) {
        for (const std::size_t index : accounts_of(each.pool)) {
            count(m_accounts[index], each);
        }
    }
    for (account& each : m_accounts) {
        const availability_budget& budget = whole.services.at(each.figures.service).budget;
        each.figures.budget = required(budget, each.figures.instances);
        each.figures.largest_domain = largest(each.admitted_by_domain);
    }
}

bool ledger::healthy(const instance& subject) const
{
    return subject.state == instance_state::admitted && !m_lost.contains(subject.id);
}

bool ledger::may_take_out(const instance& subject) const
{
    if (!healthy(subject)) {
        return true;
    }
    const auto& accounts = accounts_of(subject.pool);
    return std::all_of(accounts.begin(), accounts.end(), [&](std::size_t index) {
        return without(m_accounts[index], subject).spare() >= 0;
    });
}

bool ledger::may_take_out_set(std::span<const instance* const> subjects) const
{
    ledger trial = *this;
    for (const instance* each : subjects) {
        if (!trial.may_take_out(*each)) {
            return false;
        }
        trial.take_out(*each);
    }
    return true;
}

void ledger::require_take_out(const instance& subject) const
{
    if (!healthy(subject)) {
        return;
    }
    for (const std::size_t index : accounts_of(subject.pool)) {
        if (without(m_accounts[index], subject).spare() < 0) {
            throw budget_refusal(m_accounts[index].figures, 1);
        }
    }
}

void ledger::take_out(const instance& subject)
{
    if (!healthy(subject)) {
        return;
    }
    for (const std::size_t index : accounts_of(subject.pool)) {
        add(m_accounts[index], subject, -1);
        ++m_accounts[index].figures.out;
    }
}

void ledger::put_back(const instance& subject)
{
    if (!healthy(subject)) {
        return;
    }
    for (const std::size_t index : accounts_of(subject.pool)) {
        add(m_accounts[index], subject, 1);
        --m_accounts[index].figures.out;
    }
}

std::vector<service_figures> ledger::figures() const
{
    std::vector<service_figures> all;
    for (const account& each : m_accounts) {
        all.push_back(each.figures);
    }
    return all;
}

service_figures ledger::figures_of(const service_id& service) const
{
    for (const account& each : m_accounts) {
        if (each.figures.service == service) {
            return each.figures;
        }
    }
    throw not_found_error("service", service.str());
}

std::vector<service_id> ledger::services_of(const pool_id& pool) const
{
    std::vector<service_id> services;
    for (const std::size_t index : accounts_of(pool)) {
        services.push_back(m_accounts[index].figures.service);
    }
    return services;
}

std::optional<std::int64_t> ledger::spare_of(const pool_id& pool) const
{
    std::optional<std::int64_t> least;
    for (const std::size_t index : accounts_of(pool)) {
        const std::int64_t spare = m_accounts[index].figures.spare();
        least = least ? std::min(*least, spare) : spare;
    }
    return least;
}

void ledger::count(account& into, const instance& subject)
{
    ++into.figures.instances;
    const bool planned_out =
        subject.state == instance_state::draining || subject.state == instance_state::stopped;
    into.figures.out += planned_out ? 1 : 0;
    if (healthy(subject)) {
        ++into.figures.admitted;
        if (into.survive != failure_domain::none) {
            ++into.admitted_by_domain[domain_of(subject, into.survive)];
        }
    }
}

void ledger::add(account& into, const instance& subject, std::int32_t difference) const
{
    into.figures.admitted += difference;
    if (into.survive != failure_domain::none) {
        into.admitted_by_domain[domain_of(subject, into.survive)] += difference;
        into.figures.largest_domain = largest(into.admitted_by_domain);
    }
}

service_figures ledger::without(const account& from, const instance& subject) const
{
    service_figures figures = from.figures;
    --figures.admitted;
    if (from.survive != failure_domain::none) {
        const std::string own = domain_of(subject, from.survive);
        std::uint32_t most = 0;
        for (const auto& [domain, admitted] : from.admitted_by_domain) {
            most = std::max(most, domain == own ? admitted - 1 : admitted);
        }
        figures.largest_domain = most;
    }
    return figures;
}

const std::vector<std::size_t>& ledger::accounts_of(const pool_id& pool) const
{
    static const std::vector<std::size_t> none;
    const auto found = m_by_pool.find(pool);
    return found == m_by_pool.end() ? none : found->second;
}

void require_budgets(const fleet& before, const fleet& after, const lost_instances& lost)
{
    const auto now = ledger(before, lost).figures();
    for (const service_figures& next : ledger(after, lost).figures()) {
        const auto same = std::find_if(now.begin(), now.end(), [&](const service_figures& each) {
            return each.service == next.service;
        });
        if (same != now.end() && next.spare() < 0 && next.spare() < same->spare()) {
            const bool took = same->admitted > next.admitted;
            throw budget_refusal(*same, took ? same->admitted - next.admitted : 0);
        }
    }
}

void require_possible_budget(const fleet& whole, const service_id& service)
{
    fleet all_admitted = whole;
    for (auto& [id, each] : all_admitted.instances) {
        each.state = instance_state::admitted;
    }
    const service_figures figures = ledger(all_admitted).figures_of(service);
    if (figures.spare() < 0) {
        throw budget_larger_than_pool_error(figures);
    }
}

} // namespace plantaindoor::version
