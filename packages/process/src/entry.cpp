#include "plantaindoor/process/entry.hpp"

#include "plantaindoor/common/metrics.hpp"
#include "plantaindoor/common/tracing.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/http_platform.hpp"
#include "plantaindoor/connection/http_server.hpp"
#include "plantaindoor/connection/operator_router.hpp"
#include "plantaindoor/process/caller_path.hpp"
#include "plantaindoor/process/claim_store.hpp"
#include "plantaindoor/process/claim_sweeper.hpp"
#include "plantaindoor/process/dispatched_targets.hpp"
#include "plantaindoor/process/duty_runner.hpp"
#include "plantaindoor/process/fleet_verbs.hpp"
#include "plantaindoor/process/job_exchange.hpp"
#include "plantaindoor/process/job_metrics.hpp"
#include "plantaindoor/process/job_runner.hpp"
#include "plantaindoor/process/job_verbs.hpp"
#include "plantaindoor/process/logging.hpp"
#include "plantaindoor/process/membership.hpp"
#include "plantaindoor/process/operator_api.hpp"
#include "plantaindoor/process/paced_instance_list.hpp"
#include "plantaindoor/process/path_metrics.hpp"
#include "plantaindoor/process/peer_group.hpp"
#include "plantaindoor/process/registrar.hpp"
#include "plantaindoor/process/request_metrics.hpp"
#include "plantaindoor/process/rule_runner.hpp"
#include "plantaindoor/process/rule_verbs.hpp"
#include "plantaindoor/process/table_journal.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <fmt/format.h>

#include <optional>
#include <set>
#include <utility>

namespace plantaindoor::process {

using connection::http_request;
using connection::http_responder;
using connection::http_response;

namespace {

constexpr log_part entry_log("entry");
constexpr log_part version_log("version");

constexpr milliseconds end_check_period{20};
constexpr milliseconds readiness_period{200};
/// Time for the last answers to leave the sockets.
constexpr milliseconds flush_time{200};
/// Longest wait for the table after the last answer.
constexpr milliseconds settle_time{5000};
/// Longest pause between a duty holder's readings of the platform's list. An unregistered entry
/// serves only when it must have been in the list for that long, so that every holder has seen it.
constexpr milliseconds longest_reading_gap{10000};

http_response plain(std::uint16_t status, std::string text)
{
    return {.status = status,
            .headers = {{"Content-Type", "text/plain"}},
            .body = std::move(text) + "\n"};
}

} // namespace

class entry::parts {
public:
    parts(event_loop& loop, entry_options options)
        : m_loop(loop),
          m_options(std::move(options)),
          m_tracer(loop, trace_options()),
          m_request_metrics(m_metrics),
          m_path_metrics(m_metrics),
          m_job_metrics(m_metrics),
          m_in_progress(m_metrics.gauge(
              {.name = "requests_in_progress", .help = "Requests not yet answered."})),
          m_version(m_metrics.gauge({.name = "version", .help = "The version in force here."})),
          m_traffic(m_metrics),
          m_client(loop, &m_tracer),
          m_table(m_client, platform()),
          m_objects(m_client, platform()),
          m_log(loop, m_table, log_options()),
          m_instances(m_client, platform()),
          m_list(loop, m_instances),
          m_targets(loop, m_log, m_list, target_options()),
          m_members(member_options(), loop.now()),
          m_peers(loop, m_log, m_members, peer_options()),
          m_reader(loop, m_table, m_list),
          m_registrar(loop, m_table, m_reader, m_list, m_log, m_members, registrar_options_here()),
          m_journal({.loop = loop,
                     .rows = m_table,
                     .self = m_options.id,
                     .incarnation = m_options.incarnation}),
          m_tasks(m_client, platform()),
          m_duties(duty_options()),
          m_exchange({.loop = loop, .rows = m_table, .log = m_log}),
          m_jobs(job_options()),
          m_rules(rule_options()),
          m_claims(loop, m_table, claim_options_here()),
          m_sweeper(loop, m_table, m_options.claim_sweep),
          m_callers(caller_options()),
          m_router(m_options.operator_token),
          m_caller_server(loop, caller_server_options()),
          m_operator_server(loop, operator_server_options())
    {
        add_operator_routes({.router = m_router, .log = m_log, .rows = m_table, .status = [this] {
                                 return status();
                             }});
        add_fleet_verbs({.router = m_router,
                         .log = m_log,
                         .time = loop,
                         .duties = m_duties,
                         .journal = m_journal});
        add_rule_verbs({.router = m_router,
                        .log = m_log,
                        .list = m_list,
                        .time = loop,
                        .duties = m_duties,
                        .runner = m_rules,
                        .journal = m_journal});
        add_job_verbs({.router = m_router,
                       .log = m_log,
                       .rows = m_table,
                       .time = loop,
                       .exchange = m_exchange,
                       .run_name = run_name()});
        m_router.add("GET", "/metrics", [this](const auto&, const auto& respond) {
            respond.respond(plain(200, metrics_text()));
        });
        m_router.add("GET", "/traces",
                     [this](const auto&, const auto& respond) { respond.json(m_tracer.json()); });
        m_router.add_open("GET", "/health", [](const auto&, const auto& respond) {
            respond.respond(plain(200, "healthy"));
        });
        m_router.add_open("GET", "/ready", [this](const auto&, const auto& respond) {
            respond.respond(readiness());
        });
    }

    void start()
    {
        m_log.subscribe([](const version::fleet_ptr& fleet) {
            version_log.info(fmt::format("version {} is in force", fleet->version));
        });
        watch_readiness();
        m_log.start();
        m_targets.start();
        m_sweeper.start();
        m_members.listen_at(m_options.peers.address, m_peers.port());
        m_peers.start();
        m_registrar.start();
        m_journal.start();
        m_duties.start();
        m_rules.start();
        m_exchange.start();
        m_jobs.start();
    }

    void end(event_loop::action on_ended)
    {
        if (m_on_ended) {
            return;
        }
        entry_log.info(
            fmt::format("told to end, {} requests in progress", m_callers.in_progress()));
        m_on_ended = std::move(on_ended);
        m_loop.call_after(m_options.leave_delay, [this] { leave(); });
    }

    [[nodiscard]] std::uint16_t callers_port() const { return m_caller_server.port(); }
    [[nodiscard]] std::uint16_t operators_port() const { return m_operator_server.port(); }
    [[nodiscard]] std::uint16_t peers_port() const { return m_peers.port(); }
    [[nodiscard]] const entry_options& options() const { return m_options; }

private:
    [[nodiscard]] connection::platform_options platform()
    {
        return {
            .at = m_options.platform, .timeout = m_options.platform_timeout, .traffic = &m_traffic};
    }

    [[nodiscard]] std::string run_name() const
    {
        return fmt::format("{}-{:x}", m_options.id.str(), m_options.incarnation);
    }

    [[nodiscard]] tracer_options trace_options() const
    {
        return {.ring = m_options.trace_ring,
                .file = m_options.trace_file,
                .seed = m_options.incarnation};
    }

    std::string metrics_text()
    {
        m_in_progress.set(static_cast<double>(m_callers.in_progress()));
        m_version.set(static_cast<double>(m_log.current()->version));
        m_path_metrics.read_claims(m_claims.counts(), m_claims.unsettled());
        m_path_metrics.read_ejections(m_targets.ejections());
        m_job_metrics.set(m_jobs.counts());
        count_peer_bytes();
        m_metrics.advance(m_loop.now());
        return m_metrics.text();
    }

    /// Messages alone; what gRPC and HTTP/2 add is not counted.
    void count_peer_bytes()
    {
        const auto follow = [this](const char* direction, std::uint64_t total) {
            metric_counter& shown =
                m_metrics.counter({.name = "peer_message_bytes_total",
                                   .help = "Bytes of messages exchanged with peers.",
                                   .labels = {{"direction", direction}}});
            shown.add(total - shown.value());
        };
        follow("sent", m_peers.channel().bytes_sent());
        follow("received", m_peers.channel().bytes_received());
    }

    /// Logs each change of readiness.
    void watch_readiness()
    {
        std::string reason = not_ready_reason();
        if (m_logged_reason != reason) {
            entry_log.info(reason.empty() ? "ready" : "not ready: " + reason);
            m_logged_reason = std::move(reason);
        }
        m_loop.call_after(readiness_period, [this] { watch_readiness(); });
    }

    version::table_change_log_options log_options()
    {
        return {.author_id = run_name(),
                .seed = m_options.incarnation,
                .poll_period = m_options.head_poll,
                .snapshots = &m_objects};
    }

    [[nodiscard]] dispatched_targets_options target_options() const
    {
        return {.decisions = {.self = m_options.id,
                              .zone = m_options.zone,
                              .seed = m_options.incarnation,
                              .max_waiting_per_service = m_options.queue_requests_per_service,
                              .max_waiting = m_options.queue_requests,
                              .max_waiting_bytes = m_options.queue_bytes},
                .list_period = m_options.list_poll};
    }

    [[nodiscard]] membership_options member_options() const
    {
        return {.self = m_options.id,
                .incarnation = m_options.incarnation,
                .zone = m_options.zone,
                .list_lag = m_options.list_lag + longest_reading_gap};
    }

    peer_group_options peer_options()
    {
        return {.cluster = m_options.cluster,
                .self = m_options.id,
                .incarnation = m_options.incarnation,
                .zone = m_options.zone,
                .listen = m_options.peers,
                .known_peers = m_options.known_peers,
                .policy = {.seed = m_options.incarnation},
                .demand = [this] { return m_targets.report_demand(); },
                .on_demand = [this](const auto& report) { m_targets.hear(report); },
                .spans = &m_tracer};
    }

    registrar_options registrar_options_here()
    {
        return {.self = m_options.id,
                .incarnation = m_options.incarnation,
                .retirement = {.list_lag = m_options.list_lag},
                .busy_targets = [this] { return m_targets.busy_targets(); },
                .on_rows = [this](const auto& rows) { take_registered(rows); }};
    }

    duty_runner_options duty_options()
    {
        return {
            .loop = m_loop,
            .rows = m_table,
            .log = m_log,
            .reader = m_reader,
            .control = m_instances,
            .journal = m_journal,
            .self = m_options.id,
            .incarnation = m_options.incarnation,
            .interval = m_options.renew,
            .waves = m_options.waves,
            .times = m_options.wave_times,
            .entries = {.list_lag_bound = m_options.list_lag, .longest_gap = longest_reading_gap},
            .lease_term = m_options.lease,
            .other_duties = &duties_of_rules,
            .checkpoint = [this](const version::outage& drain, std::function<void()> done) {
                m_jobs.checkpoint(drain, std::move(done));
            }};
    }

    job_runner_options job_options()
    {
        return {.loop = m_loop,
                .rows = m_table,
                .tasks = m_tasks,
                .log = m_log,
                .journal = m_journal,
                .metrics = m_job_metrics,
                .exchange = m_exchange,
                .self = m_options.id,
                .held = [this] { return m_duties.held(); },
                .guard_of = [this](const pool_id& pool) { return m_duties.guard_of(pool); },
                .drop = [this](const pool_id& pool) { m_duties.drop(pool); },
                .lost = [this] { return m_duties.known_lost(); },
                .interactive_load =
                    [this](const pool_id& pool) { return m_targets.interactive_load(pool); }};
    }

    rule_runner_options rule_options()
    {
        return {.loop = m_loop,
                .log = m_log,
                .journal = m_journal,
                .self = m_options.id,
                .guard = [this] { return m_duties.guard_of(rules_duty()); },
                .drop_guard = [this] { m_duties.drop(rules_duty()); },
                .lost = [this] { return m_duties.known_lost(); },
                .table_down = [this] { return !m_duties.table_answers(); },
                .demand = [this] { return m_exchange.demand(); },
                .on_decided = [this](const auto& rule,
                                     const auto& guard) { m_exchange.publish(rule, guard); }};
    }

    void take_registered(const std::vector<version::registration>& rows)
    {
        m_peers.set_registered(rows);
        std::set<entry_id> live;
        for (const version::registration& each : rows) {
            if (each.lease_until >= m_loop.wall_now()) {
                live.insert(each.entry);
            }
        }
        live.insert(m_options.id);
        m_claims.share_rate(live.size());
        m_targets.set_entries({live.begin(), live.end()});
        m_log.share_polling(live.size());
    }

    [[nodiscard]] request::claim_options claim_options_here() const
    {
        request::claim_options options = m_options.claims;
        options.owner_prefix = run_name();
        return options;
    }

    caller_path_options caller_options()
    {
        return {.loop = m_loop,
                .client = m_client,
                .log = m_log,
                .targets = m_targets,
                .claims = m_claims,
                .spans = m_tracer,
                .metrics = m_request_metrics,
                .id_prefix = run_name(),
                .body_limit_bytes = m_options.body_limit_bytes,
                .answers = {.max_bytes = m_options.answer_limit_bytes},
                .attempts = m_options.attempts,
                .retries = m_options.retries,
                .claim_wait = m_options.claim_wait,
                .not_serving_reason = [this] { return not_serving_reason(); },
                .is_current = [this] { return may_serve() == serving_state::serving; }};
    }

    connection::http_server_options caller_server_options()
    {
        return {.listen = m_options.callers,
                .body_limit_bytes = m_options.body_limit_bytes,
                .on_request =
                    [this](http_request request, http_responder respond) {
                        from_caller(std::move(request), std::move(respond));
                    },
                .on_overflow = [this] { return m_callers.overflow_answer(); }};
    }

    connection::http_server_options operator_server_options()
    {
        return {.listen = m_options.operators,
                .body_limit_bytes = 16U << 20U,
                .on_request =
                    [this](const http_request& request, http_responder respond) {
                        m_router.handle(request, std::move(respond));
                    },
                .on_overflow = [] { return plain(413, "the body is longer than 16 MiB"); }};
    }

    void from_caller(http_request request, http_responder respond)
    {
        if (request.target == "/health") {
            respond(plain(200, "healthy"));
        }
        else if (request.target == "/ready") {
            respond(readiness());
        }
        else {
            m_callers.handle(std::move(request), std::move(respond));
        }
    }

    /// Empty while new requests are taken.
    [[nodiscard]] std::string not_serving_reason() const
    {
        if (m_left) {
            return "ending";
        }
        const serving_state state = may_serve();
        return state == serving_state::serving ? "" : std::string(name_of(state));
    }

    [[nodiscard]] serving_state may_serve() const { return m_members.may_serve(m_loop.now()); }

    /// Empty while the balancer may send callers here.
    [[nodiscard]] std::string not_ready_reason() const
    {
        return m_on_ended ? "ending" : not_serving_reason();
    }

    [[nodiscard]] http_response readiness() const
    {
        const std::string reason = not_ready_reason();
        return reason.empty() ? plain(200, "ready") : plain(503, "not ready: " + reason);
    }

    [[nodiscard]] entry_status status() const
    {
        return {.entry = m_options.id,
                .zone = m_options.zone,
                .incarnation = m_options.incarnation,
                .not_ready_reason = not_ready_reason(),
                .requests_in_progress = m_callers.in_progress(),
                .claims = m_claims.counts(),
                .claims_unsettled = m_claims.unsettled()};
    }

    void leave()
    {
        m_left = true;
        m_jobs.stop();
        m_duties.stop();
        m_caller_server.stop_listening();
        m_settle_until = m_loop.now() + settle_time;
        m_leave_until = m_loop.now() + m_options.drain_timeout;
        check_ended();
    }

    /// The ends of answered requests are recorded before the process goes, if the table answers.
    [[nodiscard]] bool settled() const
    {
        return m_claims.unsettled() == 0 || m_loop.now() >= m_settle_until;
    }

    void check_ended()
    {
        if (m_loop.now() >= m_leave_until) {
            m_callers.stop();
        }
        const bool busy = m_callers.in_progress() != 0 || m_caller_server.in_progress() != 0;
        if (busy && m_loop.now() < m_leave_until) {
            m_settle_until = m_loop.now() + settle_time;
        }
        else if (settled()) {
            m_loop.call_after(flush_time, m_on_ended);
            return;
        }
        m_loop.call_after(end_check_period, [this] { check_ended(); });
    }

    event_loop& m_loop;
    entry_options m_options;
    tracer m_tracer;
    metrics_registry m_metrics;
    request_metrics m_request_metrics;
    path_metrics m_path_metrics;
    job_metrics m_job_metrics;
    metric_gauge& m_in_progress;
    metric_gauge& m_version;
    connection::traffic_meter m_traffic;
    connection::http_client m_client;
    connection::http_table m_table;
    connection::http_objects m_objects;
    version::table_change_log m_log;
    connection::http_instances m_instances;
    paced_instance_list m_list;
    dispatched_targets m_targets;
    membership m_members;
    peer_group m_peers;
    membership_reader m_reader;
    registrar m_registrar;
    table_journal m_journal;
    connection::http_tasks m_tasks;
    duty_runner m_duties;
    job_exchange m_exchange;
    job_runner m_jobs;
    rule_runner m_rules;
    claim_store m_claims;
    claim_sweeper m_sweeper;
    caller_path m_callers;
    connection::operator_router m_router;
    connection::http_server m_caller_server;
    connection::http_server m_operator_server;
    event_loop::action m_on_ended;
    std::optional<std::string> m_logged_reason;
    bool m_left = false;
    time_point m_settle_until{};
    time_point m_leave_until{};
};

entry::entry(event_loop& loop, entry_options options)
    : m_parts(std::make_unique<parts>(loop, std::move(options)))
{
}

entry::~entry() = default;

void entry::start()
{
    m_parts->start();
}

void entry::end(event_loop::action on_ended)
{
    m_parts->end(std::move(on_ended));
}

connection::endpoint entry::callers_endpoint() const
{
    return {m_parts->options().callers.address, m_parts->callers_port()};
}

connection::endpoint entry::operators_endpoint() const
{
    return {m_parts->options().operators.address, m_parts->operators_port()};
}

connection::endpoint entry::peers_endpoint() const
{
    return {m_parts->options().peers.address, m_parts->peers_port()};
}

} // namespace plantaindoor::process
