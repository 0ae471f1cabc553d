#include "plantaindoor/connection/http_client.hpp"

#include "curl_transfer.hpp"
#include "plantaindoor/common/traceparent.hpp"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantaindoor::connection {

namespace {

constexpr std::size_t kept_handles = 256;
constexpr long kept_connections = 2048;

struct multi_deleter {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

} // namespace

class http_client::implementation {
public:
    implementation(event_loop& loop, tracer* spans, const http_client_options& options)
        : m_loop(loop), m_tracer(spans), m_multi(curl_multi_init())
    {
        if (m_multi == nullptr) {
            throw curl_error("curl_multi_init");
        }
        CURLM* const multi = m_multi.get();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kept_connections);
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, options.connections_per_endpoint);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        for (auto& [id, current] : m_transfers) {
            m_loop.cancel(current->timer);
            curl_multi_remove_handle(m_multi.get(), current->easy.get());
        }
        m_transfers.clear();
        m_idle.clear();
        m_multi.reset();
        m_loop.cancel(m_timer);
    }

    call_id start(http_call call, callback done)
    {
        auto current = std::make_unique<curl_transfer>();
        current->id = call_id{++m_last_call};
        current->call = std::move(call);
        current->done = std::move(done);
        current->sockets = &m_sockets;
        current->easy = take_handle();
        begin_span(*current);
        prepare(*current);
        const call_id id = current->id;
        // Not by libcurl, which checks the time before it reads an answer that has arrived.
        current->timer =
            m_loop.call_after(current->call.timeout, [this, id] { handle_timeout(id); });
        CURL* const easy = current->easy.get();
        m_transfers.emplace(id, std::move(current));
        curl_multi_add_handle(m_multi.get(), easy);
        return id;
    }

    bool cancel(call_id call)
    {
        const auto found = m_transfers.find(call);
        if (found == m_transfers.end()) {
            return false;
        }
        const bool sent = found->second->result.sent;
        m_loop.cancel(found->second->timer);
        curl_multi_remove_handle(m_multi.get(), found->second->easy.get());
        m_transfers.erase(found);
        return sent;
    }

private:
    static int on_socket(CURL* /*easy*/, curl_socket_t socket, int what, void* self,
                         void* /*assigned*/)
    {
        auto& client = *static_cast<implementation*>(self);
        if (what == CURL_POLL_REMOVE) {
            client.m_loop.unwatch(socket);
            return 0;
        }
        const io_interest interest{.readable = (what & CURL_POLL_IN) != 0,
                                   .writable = (what & CURL_POLL_OUT) != 0};
        client.m_loop.watch(socket, interest,
                            [&client, socket](io_interest ready) { client.ready(socket, ready); });
        return 0;
    }

    static int on_timer(CURLM* /*multi*/, long wait_ms, void* self)
    {
        auto& client = *static_cast<implementation*>(self);
        client.m_loop.cancel(client.m_timer);
        client.m_timer = timer_id::none;
        if (wait_ms >= 0) {
            client.m_timer = client.m_loop.call_after(milliseconds(wait_ms), [&client] {
                client.m_timer = timer_id::none;
                client.act(CURL_SOCKET_TIMEOUT, 0);
            });
        }
        return 0;
    }

    void ready(curl_socket_t socket, io_interest events)
    {
        const int flags =
            (events.readable ? CURL_CSELECT_IN : 0) | (events.writable ? CURL_CSELECT_OUT : 0);
        act(socket, flags);
    }

    void act(curl_socket_t socket, int flags)
    {
        int running = 0;
        curl_multi_socket_action(m_multi.get(), socket, flags, &running);
        collect();
    }

    /// Callbacks may start and cancel calls, so the finished ones are taken out first.
    void collect()
    {
        std::vector<std::unique_ptr<curl_transfer>> finished;
        int left = 0;
        while (CURLMsg* const message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg == CURLMSG_DONE && !start_anew(message->easy_handle)) {
                finished.push_back(take_finished(message->easy_handle, message->data.result));
            }
        }
        for (const auto& each : finished) {
            each->done(std::move(each->result));
        }
    }

    /// While the event loop was busy, an answer may have arrived in time.
    void read_arrived_answer(call_id call)
    {
        const auto found = m_transfers.find(call);
        if (found == m_transfers.end() || !found->second->result.sent) {
            return;
        }
        if (const auto socket = m_sockets.find(found->second->ends)) {
            act(*socket, CURL_CSELECT_IN);
        }
    }

    void handle_timeout(call_id call)
    {
        read_arrived_answer(call);
        const auto found = m_transfers.find(call);
        if (found != m_transfers.end()) {
            const auto finished =
                take_finished(found->second->easy.get(), CURLE_OPERATION_TIMEDOUT);
            finished->done(std::move(finished->result));
        }
    }

    /// A call that met an unclean connection begins again on a new one, in the time that is left.
    bool start_anew(CURL* easy)
    {
        curl_transfer& current = transfer_of(easy);
        if (!current.unclean) {
            return false;
        }
        current.unclean = false;
        curl_multi_remove_handle(m_multi.get(), easy);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_multi_add_handle(m_multi.get(), easy);
        return true;
    }

    void note_connection(const curl_transfer& ended)
    {
        if (ended.result.fault == transport_fault::none) {
            m_sockets.note_answer(ended.ends);
        }
        else if (ended.result.fault == transport_fault::timed_out) {
            m_sockets.note_timeout(ended.ends);
        }
    }

    static void count_bytes(CURL* easy, http_result& result)
    {
        long request = 0;
        long head = 0;
        curl_off_t body = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
        curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head);
        curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
        result.bytes_sent = static_cast<std::uint64_t>(request);
        result.bytes_received = static_cast<std::uint64_t>(head + body);
    }

    std::unique_ptr<curl_transfer> take_finished(CURL* easy, CURLcode code)
    {
        const auto found = m_transfers.find(transfer_of(easy).id);
        auto current = std::move(found->second);
        m_transfers.erase(found);
        m_loop.cancel(current->timer);
        current->result.fault = fault_of(code, *current);
        note_connection(*current);
        current->hop.set("fault", std::string(name_of(current->result.fault)));
        if (current->result.fault == transport_fault::none) {
            current->hop.set("status", std::to_string(current->result.response.status));
        }
        current->hop.end();
        count_bytes(easy, current->result);
        curl_multi_remove_handle(m_multi.get(), easy);
        if (m_idle.size() < kept_handles) {
            m_idle.push_back(std::move(current->easy));
        }
        return current;
    }

    easy_ptr take_handle()
    {
        if (m_idle.empty()) {
            return make_handle();
        }
        easy_ptr taken = std::move(m_idle.back());
        m_idle.pop_back();
        return taken;
    }

    void begin_span(curl_transfer& current) const
    {
        if (m_tracer == nullptr) {
            return;
        }
        http_call& call = current.call;
        current.hop =
            call.parent ? m_tracer->start(call.hop, *call.parent) : m_tracer->start(call.hop);
        current.hop.set("to", call.to.str());
        call.request.headers.push_back({"traceparent", format_traceparent(current.hop.context())});
    }

    event_loop& m_loop;
    tracer* m_tracer;
    kept_sockets m_sockets;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
    std::unordered_map<call_id, std::unique_ptr<curl_transfer>> m_transfers;
    std::vector<easy_ptr> m_idle;
    std::uint64_t m_last_call = 0;
    timer_id m_timer = timer_id::none;
};

http_client::http_client(event_loop& loop, tracer* spans, const http_client_options& options)
    : m_implementation(std::make_unique<implementation>(loop, spans, options))
{
}

http_client::~http_client() = default;

call_id http_client::start(http_call call, callback done)
{
    return m_implementation->start(std::move(call), std::move(done));
}

bool http_client::cancel(call_id call)
{
    return m_implementation->cancel(call);
}

} // namespace plantaindoor::connection
