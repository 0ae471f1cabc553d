// The log of accepted changes over the platform's table: polls the head, fetches what is missing,
// and appends by compare-and-swap on the head.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/version/append_group.hpp"
#include "plantaindoor/version/change_log.hpp"
#include "plantaindoor/version/log_compactor.hpp"
#include "plantaindoor/version/log_follower.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace plantaindoor::version {

struct table_change_log_options {
    /// Unique for each start of a process; the prefix of its append ids.
    std::string author_id;
    /// Seeds the jitter of retries.
    std::uint64_t seed = 0;
    /// Time from one reading of the head to the next.
    milliseconds poll_period{500};
    /// Most readings of the head a second by all entries together, see share_polling().
    std::size_t max_polls_per_second = 100;
    /// Tries of one append, each after a lost race or without an answer.
    std::size_t max_attempts = 12;
    milliseconds first_retry{10};
    milliseconds longest_retry{500};
    /// Most requests folded into one transaction.
    std::size_t max_group = 64;
    log_follower::options follower;
    /// Where snapshots are; null for none.
    object_store* snapshots = nullptr;
    compaction_options compaction;
};

/// See change_log. The loop, the table and the object store must outlive it. Loop thread only.
class table_change_log final : public change_log {
public:
    table_change_log(event_loop& loop, table& rows, table_change_log_options options);
    table_change_log(const table_change_log&) = delete;
    table_change_log& operator=(const table_change_log&) = delete;
    ~table_change_log() override;

    /// Begins to poll. Call once.
    void start();

    [[nodiscard]] fleet_ptr current() const override { return m_follower.current(); }
    void append(append_request request, append_callback done) override;
    void subscribe(version_callback on_version) override;

    /// Bounds the readings of the head by all entries together: with so many entries each polls
    /// less often, and hears of new versions from its peers.
    void share_polling(std::size_t entries);
    /// Takes records that a peer sent, and the version that it has in force.
    void receive(std::vector<log_record> records, version_number in_force);
    /// Takes a whole version that a peer sent.
    void receive(fleet whole);
    /// Reads the head now, beside the regular polls; for an entry that must know whether it is
    /// current.
    void poll_now();

    [[nodiscard]] const log_follower& follower() const noexcept { return m_follower; }
    /// When the newest reading of the head that is wholly applied was asked for; nothing before
    /// the first.
    [[nodiscard]] std::optional<time_point> current_as_of() const noexcept
    {
        return m_current_as_of;
    }

private:
    struct pending {
        append_request request;
        append_callback done;
    };
    /// The group under way. `sent` is a transaction whose reply was lost, until it is known
    /// whether it took effect.
    struct group {
        std::string append_id;
        std::vector<append_request> requests;
        std::vector<append_callback> done;
        std::size_t attempts = 0;
        folded_step folded;
        table_transaction transaction;
        bool sent = false;
        row_version head_row = absent_row;
    };

    template<class Action>
    auto while_alive(Action action);

    void poll();
    void on_polled(time_point asked, const read_result& rows);
    /// Takes the head's row; an empty reading is the empty log. False when it can't be decoded.
    bool take_head(const std::vector<table_row>& rows);
    void fetch_missing();
    void fetch_records(const log_fetch& fetch);
    void fetch_snapshot(version_number version);
    void on_fetched(bool answered);
    void publish();
    void note_currency();

    void start_group();
    void read_head_for_append();
    void on_append_head(const read_result& rows);
    void continue_append();
    /// Settles a lost reply where that is possible; true when the group has ended or a
    /// transaction was sent again.
    bool settle_sent();
    void judge_group();
    void send_transaction();
    void on_transacted(const transact_result& result);
    void on_conflict(const std::vector<table_row>& present);
    void drop_fenced(const std::vector<table_row>& present);
    void accept(row_version head_row);
    void retry_later();
    void finish(append_outcome outcome);
    [[nodiscard]] nanoseconds retry_delay();

    event_loop& m_loop;
    table& m_table;
    table_change_log_options m_options;
    nanoseconds m_poll_period;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::minstd_rand m_random;

    std::optional<log_compactor> m_compactor;
    log_follower m_follower;
    log_head m_head;
    row_version m_head_row = absent_row;
    /// Asked-for time of the newest head reading that is not yet wholly applied.
    std::optional<time_point> m_head_as_of;
    /// When a peer last told of a version that was not known of.
    std::optional<time_point> m_heard_at;
    std::optional<time_point> m_current_as_of;
    std::size_t m_polls_waiting = 0;
    bool m_fetching = false;
    bool m_append_waits = false;
    std::vector<version_callback> m_subscribers;
    timer_id m_poll_timer = timer_id::none;
    timer_id m_retry_timer = timer_id::none;

    std::deque<pending> m_queue;
    std::optional<group> m_group;
    std::uint64_t m_appends = 0;
};

} // namespace plantaindoor::version
