#include "http_server.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <microhttpd.h>
#include <netinet/in.h>
#include <system_error>
#include <utility>

namespace plantaindoor::stand_in {

namespace {

MHD_Result send_reply(MHD_Connection* connection, const http_reply& reply)
{
    MHD_Response* response = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char*>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.content_type.c_str());
    if (!reply.entity_tag.empty()) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, reply.entity_tag.c_str());
    }
    const MHD_Result queued = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Result on_access(void* owner, MHD_Connection* connection, const char* url, const char* method,
                     const char* /*version*/, const char* data, std::size_t* data_size,
                     void** context)
{
    auto* call = static_cast<http_call*>(*context);
    if (call == nullptr) {
        *context = std::make_unique<http_call>(http_call{.method = method, .path = url}).release();
        const char* tag =
            MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_NONE_MATCH);
        static_cast<http_call*>(*context)->if_none_match = tag == nullptr ? "" : tag;
        return MHD_YES;
    }
    if (*data_size > 0) {
        call->body.append(data, *data_size);
        *data_size = 0;
        return MHD_YES;
    }
    const auto reply = static_cast<const http_server*>(owner)->handler()(*call);
    return reply ? send_reply(connection, *reply) : MHD_NO;
}

void on_completed(void* /*owner*/, MHD_Connection* /*connection*/, void** context,
                  MHD_RequestTerminationCode /*code*/)
{
    const std::unique_ptr<http_call> call(static_cast<http_call*>(*context));
    *context = nullptr;
}

MHD_Daemon* start(std::uint16_t port, void* owner)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const unsigned flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    MHD_Daemon* daemon =
        MHD_start_daemon(flags, port, nullptr, nullptr, &on_access, owner, MHD_OPTION_SOCK_ADDR,
                         &address, MHD_OPTION_NOTIFY_COMPLETED, &on_completed, nullptr,
                         MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon == nullptr) {
        throw std::system_error(errno, std::generic_category(), "listen on the given port");
    }
    return daemon;
}

} // namespace

http_server::http_server(std::uint16_t port, http_handler handler)
    : m_handler(std::move(handler)), m_daemon(start(port, this), &MHD_stop_daemon)
{
}

std::uint16_t http_server::port() const
{
    return MHD_get_daemon_info(m_daemon.get(), MHD_DAEMON_INFO_BIND_PORT)->port;
}

} // namespace plantaindoor::stand_in
