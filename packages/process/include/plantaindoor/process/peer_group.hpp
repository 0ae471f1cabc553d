// Keeps this entry level with its peers: exchanges versions, demand and signs of life with them,
// and tells membership whom it hears.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/tracing.hpp"
#include "plantaindoor/connection/exchange_policy.hpp"
#include "plantaindoor/connection/peer_channel.hpp"
#include "plantaindoor/process/membership.hpp"
#include "plantaindoor/version/table_change_log.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace plantaindoor::process {

struct peer_group_options {
    std::string cluster;
    entry_id self;
    std::uint64_t incarnation = 0;
    availability_zone_id zone;
    connection::endpoint listen;
    /// Peers of the settings, asked beside the registered ones.
    std::vector<connection::endpoint> known_peers;
    connection::exchange_policy_options policy;
    milliseconds timeout{1000};
    /// Time from one check for due exchanges to the next.
    milliseconds tick{100};
    /// Bounds of one message.
    std::size_t max_records = 100;
    std::size_t max_heard = 40;
    std::size_t max_reports = 6;
    /// Most bytes of versions sent to a peer that may have them already; it is told of more, and
    /// gets them once it has said that it lacks them.
    std::size_t max_unasked_bytes = 8192;
    /// Most times that more than that is sent in one period, to whomever: those that get it pass it
    /// on, and most read it from the table.
    std::size_t max_large_sends = 3;
    milliseconds large_period{500};
    /// A whole version is sent to the same peer no more often than this.
    milliseconds snapshot_period{10000};
    /// This entry's demand, and where to bring the peers'.
    std::function<std::vector<request::service_demand>()> demand;
    std::function<void(const request::demand_report&)> on_demand;
    /// Keeps a span for each exchange that this entry begins; may be null.
    tracer* spans = nullptr;
};

/// Loop thread only; loop, log and membership must outlive it.
class peer_group {
public:
    /// Opens the listener; throws peer_listen_error.
    peer_group(event_loop& loop, version::table_change_log& log, membership& members,
               peer_group_options options);
    peer_group(const peer_group&) = delete;
    peer_group& operator=(const peer_group&) = delete;
    ~peer_group();

    /// Begins to exchange.
    void start();
    /// Replaces the registered peers.
    void set_registered(const std::vector<version::registration>& rows);

    [[nodiscard]] std::uint16_t port() const noexcept { return m_channel.port(); }
    [[nodiscard]] const connection::peer_channel& channel() const noexcept { return m_channel; }

private:
    struct heard_report {
        request::demand_report report;
        time_point when{};
    };

    void tick();
    void begin_due();
    void begin(const connection::endpoint& peer);
    void on_answer(const connection::endpoint& peer, time_point asked,
                   connection::exchange_outcome outcome, const connection::peer_message& answer);
    connection::peer_message answer(const connection::peer_message& request);
    void take(const connection::peer_message& message);
    void take_records(const connection::peer_message& message);
    [[nodiscard]] connection::peer_message status();
    /// Adds what a receiver at that version lacks.
    void add_versions(connection::peer_message& message, version::version_number receiver,
                      const std::string& receiver_name);
    void add_snapshot(connection::peer_message& message, const std::string& receiver_name);
    [[nodiscard]] bool take_large_send();
    /// Adds them only if they are small.
    void add_unasked_versions(connection::peer_message& message, version::version_number receiver);
    void add_reports(connection::peer_message& message);
    void refresh_peers();

    event_loop& m_loop;
    version::table_change_log& m_log;
    membership& m_members;
    peer_group_options m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    connection::exchange_policy m_policy;
    connection::peer_channel m_channel;
    std::vector<connection::endpoint> m_registered;
    /// Addresses that turned out to be this entry's own or another deployment's.
    std::set<connection::endpoint> m_refused;
    std::map<entry_id, heard_report> m_reports;
    std::map<std::string, time_point> m_snapshots_sent;
    /// The newest receiver's version that too much follows, up to the second one.
    version::version_number m_large_after = 0;
    version::version_number m_large_until = 0;
    time_point m_large_since{};
    std::size_t m_large_sent = 0;
    std::uint64_t m_sequence = 0;
    timer_id m_timer = timer_id::none;
};

} // namespace plantaindoor::process
