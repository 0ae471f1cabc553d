#include "plantaindoor/connection/http_client.hpp"

#include "kept_sockets.hpp"
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/common/traceparent.hpp"

#include <charconv>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>
#include <sys/socket.h>

namespace plantaindoor::connection {

namespace {

/// libcurl could not be set up.
class curl_error final : public error {
public:
    explicit curl_error(const std::string& call) : error("http-client", call, {{"call", call}}) {}
};

struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

struct multi_deleter {
    void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

struct slist_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using easy_ptr = std::unique_ptr<CURL, easy_deleter>;
using slist_ptr = std::unique_ptr<curl_slist, slist_deleter>;

constexpr std::uint16_t first_final_status = 200;
constexpr std::size_t kept_handles = 256;
constexpr long kept_connections = 2048;
/// An idle connection older than this may be closed by the other side at any moment.
constexpr long idle_connection_seconds = 20;

/// One call in progress.
struct transfer {
    call_id id = call_id::none;
    easy_ptr easy;
    slist_ptr headers;
    http_call call;
    http_client::callback done;
    http_result result;
    span hop;
    bool overflow = false;
    bool resend_refused = false;
    bool rejected = false;
    /// The kept connection was not clean, so nothing was sent on it.
    bool unclean = false;
    /// The socket that was opened for this call, if none was kept.
    curl_socket_t opened = CURL_SOCKET_BAD;
    kept_sockets* sockets = nullptr;
    time_point started{};

    /// Asks the observer, if there is one; false ends the transfer.
    template<class Question>
    bool observed(Question ask)
    {
        if (call.observer != nullptr && !ask(*call.observer)) {
            rejected = true;
        }
        return !rejected;
    }
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* to)
{
    auto& current = *static_cast<transfer*>(to);
    const std::size_t bytes = size * count;
    if (current.result.response.body.size() + bytes > current.call.answer_limit_bytes) {
        current.overflow = true;
        return 0;
    }
    if (!current.observed([bytes](call_observer& observer) { return observer.body(bytes); })) {
        return 0;
    }
    current.result.response.body.append(data, bytes);
    return bytes;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// The status in a status line such as "HTTP/1.1 200 OK"; zero where there is none.
std::uint16_t status_of(std::string_view line)
{
    std::uint16_t status = 0;
    const auto space = line.find(' ');
    if (space != std::string_view::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    }
    return status;
}

bool head_ended(transfer& current)
{
    const http_response& head = current.result.response;
    if (head.status < first_final_status) {
        return true;
    }
    return current.observed([&head](call_observer& observer) { return observer.head(head); });
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* to)
{
    auto& current = *static_cast<transfer*>(to);
    http_response& head = current.result.response;
    const std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) {
        // Another head follows an interim one.
        head.headers.clear();
        head.status = status_of(line);
        return line.size();
    }
    if (trimmed(line).empty()) {
        return head_ended(current) ? line.size() : 0;
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        head.headers.push_back(
            {std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1)))});
    }
    return line.size();
}

curl_socket_t on_open(void* to, curlsocktype /*purpose*/, curl_sockaddr* address)
{
    auto& current = *static_cast<transfer*>(to);
    current.opened = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return current.opened;
}

/// libcurl calls it for a kept connection long after its first call has ended.
int on_close(void* sockets, curl_socket_t descriptor)
{
    static_cast<kept_sockets*>(sockets)->close(descriptor);
    return 0;
}

/// Whether the connection of this call is one that was kept and isn't clean any more.
bool is_unclean(transfer& current, connection_ends ends)
{
    if (current.opened == CURL_SOCKET_BAD) {
        return current.sockets->has_unasked_bytes(ends);
    }
    current.sockets->add(current.opened, std::move(ends));
    return false;
}

/// Runs when a connection stands and before the first byte of the request. libcurl would send a
/// request again by itself when a kept connection turns out to be closed; a second run is refused.
int on_before_send(void* to, char* remote, char* /*local*/, int remote_port, int local_port)
{
    auto& current = *static_cast<transfer*>(to);
    if (current.result.sent) {
        current.resend_refused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (is_unclean(
            current,
            {.remote_address = remote, .remote_port = remote_port, .local_port = local_port})) {
        current.unclean = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (!current.observed([](call_observer& observer) { return observer.may_send(); })) {
        return CURL_PREREQFUNC_ABORT;
    }
    current.result.sent = true;
    return CURL_PREREQFUNC_OK;
}

transport_fault fault_of(CURLcode code, const transfer& current)
{
    if (current.overflow) {
        return transport_fault::too_long;
    }
    if (current.resend_refused) {
        return transport_fault::broken;
    }
    if (current.rejected) {
        return transport_fault::rejected;
    }
    switch (code) {
    case CURLE_OK:
        return transport_fault::none;
    case CURLE_COULDNT_CONNECT:
        return transport_fault::connect_failed;
    case CURLE_OPERATION_TIMEDOUT:
        return current.result.sent ? transport_fault::timed_out : transport_fault::connect_failed;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_HTTP2:
        return transport_fault::malformed;
    default:
        return current.result.sent ? transport_fault::broken : transport_fault::connect_failed;
    }
}

slist_ptr header_list(const http_headers& headers)
{
    curl_slist* list = nullptr;
    for (const http_header& header : headers) {
        // libcurl drops "Name:" and sends an empty value only for "Name;".
        const std::string line =
            header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
        list = curl_slist_append(list, line.c_str());
    }
    list = curl_slist_append(list, "Expect:");
    return slist_ptr(list);
}

} // namespace

class http_client::implementation {
public:
    implementation(event_loop& loop, tracer* spans)
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
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        for (auto& [id, current] : m_transfers) {
            curl_multi_remove_handle(m_multi.get(), current->easy.get());
        }
        m_transfers.clear();
        m_idle.clear();
        m_multi.reset();
        m_loop.cancel(m_timer);
    }

    call_id start(http_call call, callback done)
    {
        auto current = std::make_unique<transfer>();
        current->id = call_id{++m_last_call};
        current->call = std::move(call);
        current->done = std::move(done);
        current->started = m_loop.now();
        current->sockets = &m_sockets;
        current->easy = take_handle();
        begin_span(*current);
        prepare(*current);
        const call_id id = current->id;
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
        std::vector<std::unique_ptr<transfer>> finished;
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

    static transfer& transfer_of(CURL* easy)
    {
        void* pointer = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &pointer);
        return *static_cast<transfer*>(pointer);
    }

    /// A call that met an unclean connection begins again on a new one, in the time that is left.
    bool start_anew(CURL* easy)
    {
        transfer& current = transfer_of(easy);
        const auto left =
            std::chrono::floor<milliseconds>(current.started + current.call.timeout - m_loop.now());
        if (!current.unclean || left <= milliseconds(0)) {
            return false;
        }
        current.unclean = false;
        curl_multi_remove_handle(m_multi.get(), easy);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
        curl_multi_add_handle(m_multi.get(), easy);
        return true;
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

    std::unique_ptr<transfer> take_finished(CURL* easy, CURLcode code)
    {
        const auto found = m_transfers.find(transfer_of(easy).id);
        auto current = std::move(found->second);
        m_transfers.erase(found);
        current->result.fault = fault_of(code, *current);
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
            easy_ptr made(curl_easy_init());
            if (made == nullptr) {
                throw curl_error("curl_easy_init");
            }
            return made;
        }
        easy_ptr taken = std::move(m_idle.back());
        m_idle.pop_back();
        curl_easy_reset(taken.get());
        return taken;
    }

    static void prepare(transfer& current)
    {
        CURL* const easy = current.easy.get();
        const http_call& call = current.call;
        const std::string url = "http://" + call.to.str() + call.request.target;
        current.headers = header_list(call.request.headers);
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current.headers.get());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, idle_connection_seconds);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(call.connect_timeout.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &on_before_send);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &current);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &on_open);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &current);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &on_close);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, current.sockets);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.own_connection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.own_connection ? 1L : 0L);
        set_method(easy, call.request);
    }

    static void set_method(CURL* easy, const http_request& request)
    {
        if (request.method == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        else if (request.method == "GET" && request.body.empty()) {
            curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        }
        else {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        }
    }

    void begin_span(transfer& current) const
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
    std::unordered_map<call_id, std::unique_ptr<transfer>> m_transfers;
    std::vector<easy_ptr> m_idle;
    std::uint64_t m_last_call = 0;
    timer_id m_timer = timer_id::none;
};

http_client::http_client(event_loop& loop, tracer* spans)
    : m_implementation(std::make_unique<implementation>(loop, spans))
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
