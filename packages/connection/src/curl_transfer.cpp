#include "curl_transfer.hpp"

#include <charconv>
#include <string_view>
#include <utility>

#include <sys/socket.h>

namespace plantaindoor::connection {

namespace {

constexpr std::uint16_t first_final_status = 200;
/// An idle connection older than this may be closed by the other side at any moment.
constexpr long idle_connection_seconds = 20;
/// libcurl counts whole seconds, so a connection is taken for less than two.
constexpr long recent_connection_seconds = 1;
/// Hosts are IP numbers, whose entries never change; else libcurl searches all after each call.
constexpr long keep_host_entries = -1;

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* to)
{
    auto& current = *static_cast<curl_transfer*>(to);
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

bool head_ended(curl_transfer& current)
{
    const http_response& head = current.result.response;
    if (head.status < first_final_status) {
        return true;
    }
    return current.observed([&head](call_observer& observer) { return observer.head(head); });
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* to)
{
    auto& current = *static_cast<curl_transfer*>(to);
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
    auto& current = *static_cast<curl_transfer*>(to);
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
bool is_unclean(curl_transfer& current)
{
    if (current.on_kept()) {
        return !current.sockets->is_reusable(current.ends);
    }
    current.sockets->add(current.opened, current.ends);
    return false;
}

/// Runs when a connection stands and before the first byte of the request. libcurl would send a
/// request again by itself when a kept connection turns out to be closed; a second run is refused.
int on_before_send(void* to, char* remote, char* /*local*/, int remote_port, int local_port)
{
    auto& current = *static_cast<curl_transfer*>(to);
    if (current.result.sent) {
        current.resend_refused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    current.ends = {.remote_address = remote, .remote_port = remote_port, .local_port = local_port};
    if (is_unclean(current)) {
        current.unclean = true;
        return CURL_PREREQFUNC_ABORT;
    }
    const bool kept = current.on_kept();
    if (!current.observed([kept](call_observer& observer) { return observer.may_send(kept); })) {
        return CURL_PREREQFUNC_ABORT;
    }
    current.result.sent = true;
    current.result.on_kept_connection = kept;
    return CURL_PREREQFUNC_OK;
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
    // libcurl adds these by itself where the request has none.
    for (const char* const unasked : {"Expect:", "Accept:", "Content-Type:"}) {
        list = curl_slist_append(list, unasked);
    }
    return slist_ptr(list);
}

void set_method(CURL* easy, const http_request& request)
{
    // Each of the three methods clears what another one has set, but for the method's own name.
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, nullptr);
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
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

void set_connection(CURL* easy, connection_use use)
{
    const bool own = use == connection_use::own;
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, own ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, own ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     use == connection_use::recent ? recent_connection_seconds
                                                   : idle_connection_seconds);
}

} // namespace

easy_ptr make_handle()
{
    easy_ptr made(curl_easy_init());
    CURL* const easy = made.get();
    if (easy == nullptr) {
        throw curl_error("curl_easy_init");
    }
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, keep_host_entries);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &on_before_send);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &on_open);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &on_close);
    return made;
}

void prepare(curl_transfer& current)
{
    CURL* const easy = current.easy.get();
    const http_call& call = current.call;
    const std::string url = "http://" + call.to.str() + call.request.target;
    current.headers = header_list(call.request.headers);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current.headers.get());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &current);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &current);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, current.sockets);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &current);
    set_connection(easy, call.use);
    set_method(easy, call.request);
}

curl_transfer& transfer_of(CURL* easy)
{
    void* pointer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &pointer);
    return *static_cast<curl_transfer*>(pointer);
}

transport_fault fault_of(CURLcode code, const curl_transfer& current)
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

} // namespace plantaindoor::connection
