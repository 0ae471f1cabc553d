#include "plantaindoor/connection/peer_channel.hpp"

#include "peer_messages.hpp"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

namespace plantaindoor::connection {

namespace {

constexpr int max_server_threads = 4;
constexpr int first_reconnect_ms = 100;
constexpr int longest_reconnect_ms = 1000;

grpc::Status wrong_cluster()
{
    return {grpc::StatusCode::FAILED_PRECONDITION, "wrong cluster"};
}

grpc::Status own_echo()
{
    return {grpc::StatusCode::ALREADY_EXISTS, "own address"};
}

exchange_outcome outcome_of(const grpc::Status& status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::OK:
        return exchange_outcome::answered;
    case grpc::StatusCode::FAILED_PRECONDITION:
        return exchange_outcome::wrong_cluster;
    case grpc::StatusCode::ALREADY_EXISTS:
        return exchange_outcome::self;
    default:
        return exchange_outcome::unreachable;
    }
}

/// A peer's call that waits for the loop to answer it.
struct received_call {
    grpc::ServerUnaryReactor* reactor = nullptr;
    const peer::exchange_message* request = nullptr;
    peer::exchange_message* answer = nullptr;
};

/// An exchange under way to a peer.
struct sent_call {
    endpoint peer;
    grpc::ClientContext context;
    peer::exchange_message request;
    peer::exchange_message answer;
    peer_channel::exchange_callback done;
};

/// What gRPC's threads share with the loop's. Outlives the channel while calls are under way.
struct call_registry {
    std::mutex lock;
    std::condition_variable all_ended;
    bool closed = false;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, received_call> received;
    std::map<std::uint64_t, std::shared_ptr<sent_call>> sent;
};

/// Accepts calls on gRPC's threads and hands them to the loop.
class exchange_service final : public peer::peer_exchange::CallbackService {
public:
    using hand_over = std::function<void(std::uint64_t)>;

    exchange_service(const peer_channel_options& options, call_registry& calls, hand_over to_loop)
        : m_options(options), m_calls(calls), m_to_loop(std::move(to_loop))
    {
    }

    grpc::ServerUnaryReactor* exchange(grpc::CallbackServerContext* context,
                                       const peer::exchange_message* request,
                                       peer::exchange_message* answer) override
    {
        grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
        if (request->cluster() != m_options.cluster) {
            reactor->Finish(wrong_cluster());
        }
        else if (request->entry() == m_options.self.str() &&
                 request->incarnation() == m_options.incarnation) {
            reactor->Finish(own_echo());
        }
        else {
            accept({reactor, request, answer});
        }
        return reactor;
    }

private:
    void accept(const received_call& call)
    {
        const std::lock_guard held(m_calls.lock);
        if (m_calls.closed) {
            call.reactor->Finish({grpc::StatusCode::UNAVAILABLE, "ending"});
            return;
        }
        const std::uint64_t id = ++m_calls.last_id;
        m_calls.received.emplace(id, call);
        m_to_loop(id);
    }

    const peer_channel_options& m_options;
    call_registry& m_calls;
    hand_over m_to_loop;
};

} // namespace

class peer_channel::parts {
public:
    parts(event_loop& loop, peer_channel_options options)
        : m_loop(loop),
          m_options(std::move(options)),
          m_service(m_options, *m_calls, [this](std::uint64_t id) { hand_over(id); })
    {
        grpc::ServerBuilder builder;
        int port = 0;
        grpc::ResourceQuota quota("peers");
        quota.SetMaxThreads(max_server_threads);
        builder.SetResourceQuota(quota);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.SetMaxReceiveMessageSize(static_cast<int>(m_options.max_message_bytes));
        builder.AddListeningPort(m_options.listen.str(), grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        if (m_server == nullptr || port == 0) {
            throw peer_listen_error(m_options.listen);
        }
        m_port = static_cast<std::uint16_t>(port);
    }

    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;

    ~parts()
    {
        *m_alive = false;
        close_calls();
        m_server->Shutdown(std::chrono::system_clock::now());
        m_server->Wait();
    }

    void exchange(const endpoint& peer, const peer_message& message, exchange_callback done)
    {
        auto call = std::make_shared<sent_call>();
        call->peer = peer;
        call->request = to_wire(message, m_options.cluster);
        call->done = std::move(done);
        call->context.set_deadline(std::chrono::system_clock::now() + m_options.timeout);
        m_sent_bytes += call->request.ByteSizeLong();
        std::uint64_t id = 0;
        {
            const std::lock_guard held(m_calls->lock);
            id = ++m_calls->last_id;
            m_calls->sent.emplace(id, call);
        }
        stub_of(peer).async()->exchange(
            &call->context, &call->request, &call->answer,
            [this, id](const grpc::Status& status) { on_sent_ended(id, status); });
    }

    void keep_only(const std::vector<endpoint>& peers)
    {
        std::erase_if(m_stubs, [&](const auto& each) {
            return std::ranges::find(peers, each.first) == peers.end();
        });
    }

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] std::uint64_t sent_bytes() const { return m_sent_bytes; }
    [[nodiscard]] std::uint64_t received_bytes() const { return m_received_bytes; }

private:
    peer::peer_exchange::Stub& stub_of(const endpoint& peer)
    {
        auto& stub = m_stubs[peer];
        if (stub == nullptr) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_reconnect_ms);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, first_reconnect_ms);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, longest_reconnect_ms);
            arguments.SetMaxReceiveMessageSize(static_cast<int>(m_options.max_message_bytes));
            stub = peer::peer_exchange::NewStub(grpc::CreateCustomChannel(
                peer.str(), grpc::InsecureChannelCredentials(), arguments));
        }
        return *stub;
    }

    /// On a gRPC thread, with the registry locked.
    void hand_over(std::uint64_t id)
    {
        m_loop.post([this, alive = m_alive, id] {
            if (*alive) {
                answer_received(id);
            }
        });
    }

    void answer_received(std::uint64_t id)
    {
        received_call call;
        {
            const std::lock_guard held(m_calls->lock);
            auto found = m_calls->received.extract(id);
            if (found.empty()) {
                return;
            }
            call = found.mapped();
        }
        m_received_bytes += call.request->ByteSizeLong();
        *call.answer = to_wire(m_options.on_exchange(from_wire(*call.request)), m_options.cluster);
        m_sent_bytes += call.answer->ByteSizeLong();
        call.reactor->Finish(grpc::Status::OK);
    }

    /// On a gRPC thread.
    void on_sent_ended(std::uint64_t id, const grpc::Status& status)
    {
        const std::lock_guard held(m_calls->lock);
        auto found = m_calls->sent.extract(id);
        if (!m_calls->closed) {
            const bool timed_out = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
            m_loop.post([this, alive = m_alive, call = found.mapped(), timed_out,
                         outcome = outcome_of(status)] {
                if (!*alive) {
                    return;
                }
                if (timed_out) {
                    // Its connection may have gone silent; the next exchange opens another one.
                    m_stubs.erase(call->peer);
                }
                report_sent(*call, outcome);
            });
        }
        m_calls->all_ended.notify_all();
    }

    void report_sent(const sent_call& call, exchange_outcome outcome)
    {
        if (outcome == exchange_outcome::answered && call.answer.cluster() != m_options.cluster) {
            outcome = exchange_outcome::wrong_cluster;
        }
        m_received_bytes += call.answer.ByteSizeLong();
        call.done(outcome, from_wire(call.answer));
    }

    /// Neither cancelling nor finishing may run under the lock: either may call back at once.
    void close_calls()
    {
        std::map<std::uint64_t, received_call> received;
        std::map<std::uint64_t, std::shared_ptr<sent_call>> sent;
        {
            const std::lock_guard held(m_calls->lock);
            m_calls->closed = true;
            received.swap(m_calls->received);
            sent = m_calls->sent;
        }
        for (const auto& [id, call] : sent) {
            call->context.TryCancel();
        }
        for (const auto& [id, call] : received) {
            call.reactor->Finish({grpc::StatusCode::UNAVAILABLE, "ending"});
        }
        std::unique_lock held(m_calls->lock);
        m_calls->all_ended.wait(held, [this] { return m_calls->sent.empty(); });
    }

    event_loop& m_loop;
    peer_channel_options m_options;
    /// Read and written on the loop's thread only.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<call_registry> m_calls = std::make_unique<call_registry>();
    exchange_service m_service;
    std::unique_ptr<grpc::Server> m_server;
    std::uint16_t m_port = 0;
    std::map<endpoint, std::unique_ptr<peer::peer_exchange::Stub>> m_stubs;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_received_bytes = 0;
};

peer_channel::peer_channel(event_loop& loop, peer_channel_options options)
    : m_parts(std::make_unique<parts>(loop, std::move(options)))
{
}

peer_channel::~peer_channel() = default;

void peer_channel::exchange(const endpoint& peer, const peer_message& message,
                            exchange_callback done)
{
    m_parts->exchange(peer, message, std::move(done));
}

void peer_channel::keep_only(const std::vector<endpoint>& peers)
{
    m_parts->keep_only(peers);
}

std::uint16_t peer_channel::port() const noexcept
{
    return m_parts->port();
}

std::uint64_t peer_channel::bytes_sent() const noexcept
{
    return m_parts->sent_bytes();
}

std::uint64_t peer_channel::bytes_received() const noexcept
{
    return m_parts->received_bytes();
}

} // namespace plantaindoor::connection
