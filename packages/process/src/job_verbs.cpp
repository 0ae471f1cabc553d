#include "plantaindoor/process/job_verbs.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace plantaindoor::process {

using connection::operator_request;
using connection::operator_responder;
using connection::table_unavailable_error;
using nlohmann::json;

namespace {

/// Jobs in one transaction of a submission.
constexpr std::size_t submit_group = 100;
/// Most jobs in one file, so that an answer stays bounded.
constexpr std::size_t most_jobs_in_file = 20'000;
/// Most rows in one reading of a list.
constexpr std::size_t list_page = 1000;
constexpr std::size_t most_listed = 10'000;

std::vector<std::string> keys_of(const job_id& id)
{
    return {job_inbox_key(id), job_live_key(id), job_done_key(id)};
}

json json_of(const job& subject)
{
    const job_spec& spec = subject.spec;
    json out{{"id", spec.id.str()},
             {"team", spec.team.str()},
             {"pool", spec.pool.str()},
             {"priority", name_of(spec.work_class)},
             {"kind", spec.kind},
             {"processors", spec.declared.processors},
             {"memory_mb", spec.declared.memory_mb},
             {"accelerators", spec.declared.accelerators},
             {"run_time_s", spec.declared.run_time.count() / 1000},
             {"submitted_ms", subject.submitted.time_since_epoch().count()},
             {"state", name_of(subject.state)},
             {"run", subject.run},
             {"worker", subject.worker.str()},
             {"placed_ms", subject.placed.time_since_epoch().count()},
             {"pace", name_of(subject.pace)},
             {"saved_ms", subject.saved.count()},
             {"failures", subject.failures},
             {"reason", subject.reason}};
    if (spec.deadline) {
        out["deadline_ms"] = spec.deadline->time_since_epoch().count();
    }
    return out;
}

/// Runs a step of an answer; what it throws is answered as a failure.
template<class Step>
void answering(const operator_responder& respond, Step step)
{
    try {
        step();
    }
    catch (const std::exception&) {
        respond.fail(std::current_exception());
    }
}

/// One submission: reads what is there, judges all of it, then writes the new ones in groups.
class submission : public std::enable_shared_from_this<submission> {
public:
    submission(job_verbs_options options, operator_responder respond, std::vector<job_spec> specs)
        : m_options(std::move(options)),
          m_respond(std::move(respond)),
          m_submitted(m_options.time.wall_now())
    {
        for (job_spec& each : specs) {
            const job_id id = each.id;
            m_order.push_back(id);
            m_wanted.emplace(id, job{.spec = std::move(each), .submitted = m_submitted});
        }
    }

    /// Throws where one of the jobs can't run.
    void start()
    {
        const version::fleet_ptr whole = m_options.log.current();
        for (const auto& [id, each] : m_wanted) {
            check_job(each.spec, *whole, m_submitted);
        }
        read_back();
    }

private:
    void read_back()
    {
        std::vector<std::string> keys;
        for (const auto& [id, each] : m_wanted) {
            if (!m_accepted.contains(id)) {
                std::ranges::move(keys_of(id), std::back_inserter(keys));
            }
        }
        m_options.rows.read(std::move(keys), [self = shared_from_this()](const read_result& rows) {
            answering(self->m_respond, [&] { self->on_present(rows); });
        });
    }

    /// Throws where the rule in effect refuses a job that is not in the table yet.
    void check_rule() const
    {
        const job_limits limits = m_options.exchange.limits();
        for (const auto& [id, each] : m_wanted) {
            const bool refused = limits.verb == name_of(version::rule_verb::refuse) &&
                                 each.spec.work_class == limits.work_class;
            if (refused && !m_accepted.contains(id)) {
                throw class_refused_error(each.spec, limits.rule);
            }
        }
    }

    void on_present(const read_result& rows)
    {
        if (!rows) {
            throw table_unavailable_error("no answer");
        }
        for (const table_row& row : *rows) {
            const auto present = decode_job(row.value);
            if (!present) {
                continue;
            }
            const job_spec& spec = present->spec;
            if (spec != m_wanted.at(spec.id).spec) {
                throw job_exists_error(*present);
            }
            m_accepted.emplace(spec.id, present->state);
        }
        if (m_retries == 0) {
            check_rule();
        }
        write_next();
    }

    void write_next()
    {
        table_transaction out;
        std::vector<job_id> group;
        for (const auto& [id, each] : m_wanted) {
            if (m_accepted.contains(id) || group.size() == submit_group) {
                continue;
            }
            group.push_back(id);
            for (const std::string& key : keys_of(id)) {
                out.conditions.push_back({key, absent_row});
            }
            out.writes.push_back({job_inbox_key(id), encode(each)});
        }
        if (group.empty()) {
            answer();
            return;
        }
        m_options.rows.transact(
            std::move(out), [self = shared_from_this(), group](const transact_result& result) {
                answering(self->m_respond, [&] { self->on_written(group, result); });
            });
    }

    void on_written(const std::vector<job_id>& group, const transact_result& result)
    {
        if (result.outcome == transact_outcome::applied) {
            for (const job_id& id : group) {
                m_accepted.emplace(id, job_state::waiting);
            }
            write_next();
            return;
        }
        const bool may_be_kept = result.outcome != transact_outcome::unavailable;
        if (!may_be_kept || ++m_retries > most_retries) {
            throw table_unavailable_error(std::string(name_of(result.outcome)));
        }
        read_back();
    }

    void answer() const
    {
        json items = json::array();
        for (const job_id& id : m_order) {
            items.push_back({{"id", id.str()}, {"state", name_of(m_accepted.at(id))}});
        }
        m_respond.json(json{{"jobs", items.size()}, {"items", std::move(items)}}.dump());
    }

    static constexpr int most_retries = 5;

    job_verbs_options m_options;
    operator_responder m_respond;
    wall_time m_submitted;
    std::vector<job_id> m_order;
    std::map<job_id, job> m_wanted;
    /// In the table, with the state that was seen there.
    std::map<job_id, job_state> m_accepted;
    int m_retries = 0;
};

void submit(const job_verbs_options& options, const operator_request& request,
            const operator_responder& respond)
{
    auto specs = parse_jobs(request.body, request.query_or("file", "jobs.yaml"));
    if (specs.empty() || specs.size() > most_jobs_in_file) {
        throw invalid_value_error("jobs", std::to_string(specs.size()),
                                  fmt::format("between 1 and {}", most_jobs_in_file));
    }
    std::make_shared<submission>(options, respond, std::move(specs))->start();
}

/// Answers with the job's row as it stands.
void get_job(const job_verbs_options& options, const operator_request& request,
             const operator_responder& respond)
{
    const std::string id = request.parameters.at(0);
    options.rows.read(keys_of(job_id(id)), [respond, id](const read_result& rows) {
        answering(respond, [&] {
            if (!rows) {
                throw table_unavailable_error("no answer");
            }
            const auto found = rows->empty() ? std::nullopt : decode_job(rows->front().value);
            if (!found) {
                throw not_found_error("job", id);
            }
            respond.json(json_of(*found).dump());
        });
    });
}

/// Lists the jobs that wait in the inbox, are alive, or are over, up to a bounded number.
class job_listing : public std::enable_shared_from_this<job_listing> {
public:
    job_listing(table& rows, operator_responder respond)
        : m_rows(rows), m_respond(std::move(respond))
    {
    }

    void scan(const std::string& after)
    {
        m_rows.scan({.prefix = prefixes.at(m_prefix), .after = after, .limit = list_page},
                    [self = shared_from_this()](const read_result& rows) {
                        answering(self->m_respond, [&] { self->on_rows(rows); });
                    });
    }

private:
    void on_rows(const read_result& rows)
    {
        if (!rows) {
            throw table_unavailable_error("no answer");
        }
        for (const table_row& row : *rows) {
            if (const auto found = decode_job(row.value)) {
                m_items.push_back(json_of(*found));
            }
        }
        const bool last = rows->size() < list_page;
        m_prefix += last ? 1U : 0U;
        if (m_prefix == prefixes.size() || m_items.size() >= most_listed) {
            const bool complete = m_prefix == prefixes.size();
            m_respond.json(json{{"complete", complete}, {"items", std::move(m_items)}}.dump());
            return;
        }
        scan(last ? "" : rows->back().key);
    }

    static const std::vector<std::string> prefixes;

    table& m_rows;
    operator_responder m_respond;
    json m_items = json::array();
    std::size_t m_prefix = 0;
};

const std::vector<std::string> job_listing::prefixes{
    std::string(job_live_prefix), std::string(job_inbox_prefix), std::string(job_done_prefix)};

/// Writes the requests to cancel, one row for each pool, in one transaction.
void write_cancels(const job_verbs_options& options, const std::vector<job_cancel>& wanted,
                   const operator_responder& respond)
{
    // Every writing has a key of its own: one that is repeated finds nothing left to cancel.
    table_transaction out;
    json pools = json::array();
    for (const job_cancel& each : wanted) {
        const std::string key =
            fmt::format("{}{}/{}/{}", job_cancel_prefix, each.pool.str(), options.run_name,
                        each.asked.time_since_epoch().count());
        out.writes.push_back({key + "/" + each.id.str(), encode(each)});
        pools.push_back(each.pool.str());
    }
    options.rows.transact(std::move(out), [respond, pools](const transact_result& result) {
        answering(respond, [&] {
            if (result.outcome != transact_outcome::applied) {
                throw table_unavailable_error(std::string(name_of(result.outcome)));
            }
            respond.json(json{{"cancelling", true}, {"pools", pools}}.dump());
        });
    });
}

std::string reason_in(const json& body)
{
    const std::string given = body.value("reason", std::string());
    return given.empty() ? "cancelled by an operator" : given;
}

json object_in(const std::string& body)
{
    json in = body.empty() ? json::object() : json::parse(body, nullptr, false);
    if (!in.is_object()) {
        throw invalid_value_error("body", body, "a JSON object");
    }
    return in;
}

void cancel_one(const job_verbs_options& options, const operator_request& request,
                const operator_responder& respond)
{
    const job_id id(request.parameters.at(0));
    const std::string reason = reason_in(object_in(request.body));
    options.rows.read(keys_of(id), [options, respond, id, reason](const read_result& rows) {
        answering(respond, [&] {
            if (!rows) {
                throw table_unavailable_error("no answer");
            }
            const auto found = rows->empty() ? std::nullopt : decode_job(rows->front().value);
            if (!found) {
                throw not_found_error("job", id.str());
            }
            if (is_over(found->state)) {
                respond.json(json_of(*found).dump());
                return;
            }
            write_cancels(options,
                          {{.pool = found->spec.pool,
                            .id = id,
                            .asked = std::max(options.time.wall_now(), found->submitted),
                            .reason = reason}},
                          respond);
        });
    });
}

void cancel_many(const job_verbs_options& options, const operator_request& request,
                 const operator_responder& respond)
{
    const json in = object_in(request.body);
    const version::fleet_ptr whole = options.log.current();
    job_cancel wanted{.pool = pool_id(in.value("pool", std::string())),
                      .team = team_id(in.value("team", std::string())),
                      .kind = in.value("kind", std::string()),
                      .asked = options.time.wall_now(),
                      .reason = reason_in(in)};
    const std::string work_class = in.value("class", std::string());
    if (!work_class.empty()) {
        wanted.work_class = parse_enum<version::priority>(work_class);
        if (!wanted.work_class) {
            throw invalid_value_error("class", work_class, expected_names<version::priority>());
        }
    }
    if (!wanted.pool.empty() && !whole->pools.contains(wanted.pool)) {
        throw not_found_error("pool", wanted.pool.str());
    }
    if (!wanted.team.empty() && !whole->teams.contains(wanted.team)) {
        throw not_found_error("team", wanted.team.str());
    }
    if (wanted.pool.empty() && wanted.team.empty() && wanted.kind.empty() && !wanted.work_class) {
        throw invalid_value_error("selector", request.body, "a pool, team, class or kind");
    }
    std::vector<job_cancel> all;
    for (const auto& [id, each] : whole->pools) {
        if (wanted.pool.empty() || wanted.pool == id) {
            all.push_back(wanted);
            all.back().pool = id;
        }
    }
    write_cancels(options, all, respond);
}

} // namespace

void add_job_verbs(const job_verbs_options& options)
{
    using handler =
        void (*)(const job_verbs_options&, const operator_request&, const operator_responder&);
    const auto add = [&](const char* method, const char* path, handler run) {
        options.router.add(
            method, path,
            [options, run](const operator_request& request, const operator_responder& respond) {
                run(options, request, respond);
            });
    };
    options.router.add(
        "GET", "/v1/jobs",
        [&rows = options.rows](const operator_request&, const operator_responder& respond) {
            std::make_shared<job_listing>(rows, respond)->scan("");
        });
    add("POST", "/v1/jobs", &submit);
    add("POST", "/v1/jobs/cancel", &cancel_many);
    add("GET", "/v1/jobs/{}", &get_job);
    add("POST", "/v1/jobs/{}/cancel", &cancel_one);
}

} // namespace plantaindoor::process
