// The attempt policy written as plainly as possible: each answer is recomputed from the whole
// history.
#pragma once

#include "plantaindoor/request/attempt_tracker.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace plantaindoor::request::naive {

enum class event_kind {
    start,
    chosen,
    no_target,
    may_send,
    failed,
    answered,
    refused_by_target,
    caller_gone,
    stopped,
};

struct event {
    event_kind kind = event_kind::start;
    time_point at{};
};

struct expectation {
    attempt_step step = attempt_step::wait;
    outcome truth = outcome::not_run;
};

/// Replays the history from its beginning and returns what the last event must lead to.
inline expectation replay(const attempt_subject& subject, const attempt_options& options,
                          std::size_t retries, const std::vector<event>& history)
{
    bool finished = false;
    bool gone = false;
    bool answered = false;
    bool asked = false;
    bool connecting = false;
    bool sent = false;
    bool lost = false;
    bool fresh = true;
    std::size_t attempts = 0;
    expectation now;

    const auto refuse = [&] {
        lost = lost || sent;
        connecting = false;
        sent = false;
        finished = true;
        now.step = attempt_step::refuse;
    };
    const auto retry_or_refuse = [&](time_point at) {
        lost = lost || sent;
        connecting = false;
        sent = false;
        const bool permitted = subject.idempotent || !lost;
        if (gone || subject.deadline - at < options.shortest_attempt ||
            attempts >= options.max_attempts || !permitted) {
            refuse();
            return;
        }
        if (retries == 0) {
            refuse();
            return;
        }
        --retries;
        asked = true;
        now.step = attempt_step::choose_target;
    };

    for (const event& each : history) {
        now.step = attempt_step::wait;
        if (finished) {
            continue;
        }
        const bool in_time = each.at < subject.deadline;
        if (each.kind == event_kind::start && fresh) {
            fresh = false;
            if (in_time) {
                asked = true;
                now.step = attempt_step::choose_target;
            }
            else {
                refuse();
            }
        }
        else if (each.kind == event_kind::chosen && asked) {
            asked = false;
            if (in_time) {
                ++attempts;
                connecting = true;
                now.step = attempt_step::send;
            }
            else {
                refuse();
            }
        }
        else if (each.kind == event_kind::may_send && connecting && in_time) {
            connecting = false;
            sent = true;
        }
        else if (each.kind == event_kind::failed && (connecting || sent)) {
            retry_or_refuse(each.at);
        }
        else if (each.kind == event_kind::answered && sent) {
            answered = true;
            finished = true;
            sent = false;
            now.step = attempt_step::answer;
        }
        else if (each.kind == event_kind::refused_by_target && sent) {
            sent = false;
            retry_or_refuse(each.at);
        }
        else if (each.kind == event_kind::stopped ||
                 (each.kind == event_kind::no_target && asked)) {
            refuse();
        }
        else if (each.kind == event_kind::caller_gone) {
            gone = true;
            if (!sent) {
                refuse();
            }
        }
    }
    now.truth = answered ? outcome::answered : (lost || sent ? outcome::unknown : outcome::not_run);
    return now;
}

} // namespace plantaindoor::request::naive
