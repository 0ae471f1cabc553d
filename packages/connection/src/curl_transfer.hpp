// One call on a libcurl handle: what it asks for, what arrives, and whether it can have been sent.
#pragma once

#include "kept_sockets.hpp"
#include "plantaindoor/common/error.hpp"
#include "plantaindoor/connection/http_client.hpp"

#include <memory>
#include <string>

#include <curl/curl.h>

namespace plantaindoor::connection {

/// libcurl could not be set up.
class curl_error final : public error {
public:
    explicit curl_error(const std::string& call) : error("http-client", call, {{"call", call}}) {}
};

struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

struct slist_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using easy_ptr = std::unique_ptr<CURL, easy_deleter>;
using slist_ptr = std::unique_ptr<curl_slist, slist_deleter>;

/// One call in progress.
struct curl_transfer {
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
    /// Of the connection that carried the request; set once it was sent.
    connection_ends ends;
    /// Ends the call when its time is over.
    timer_id timer = timer_id::none;

    /// Whether the call's connection carried another one before; known once the connection stands.
    [[nodiscard]] bool on_kept() const { return opened == CURL_SOCKET_BAD; }

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

/// A handle with the options that all calls share. Throws curl_error.
easy_ptr make_handle();
/// Sets what differs between calls, all of it, so that a handle may carry one call after another.
/// The transfer must stay where it is while the handle works for it.
void prepare(curl_transfer& current);
/// The call that a handle works for.
curl_transfer& transfer_of(CURL* easy);
transport_fault fault_of(CURLcode code, const curl_transfer& current);

} // namespace plantaindoor::connection
