// One client connection, by libevent's evhttp, that carries one request at a time.
//
// evhttp alone hands a stray answer to the next request and does not say whether a request
// that failed had been sent. Here an answer that leaves bytes behind, a request that was
// given up, and an answer that names another request each end the connection, and each
// failure says whether a byte of the request was handed to the connection.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/messages/httpmessages.h"

#include <functional>
#include <memory>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace qz {

/// A kept-alive connection to one server. It connects when the first request is sent, and
/// never repeats a request by itself.
///
/// Errors of send(): BackendConnectFailed, no byte was handed over; BackendTimeout, the
/// time was up (BackendConnectFailed if nothing was handed over); BackendCut, the answer
/// did not come whole; AnswerMismatch, the answer names another request; AnswerTooLarge.
class HttpConnection
{
public:
    using Done = std::function<void(Result<HttpResponse>)>;

    HttpConnection(EventLoop &loop, Endpoint server, std::size_t answerLimitBytes);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends @p request and calls @p done once. Must not be called while isBusy().
    /// @p requestId is sent as X-Request-Id; an answer that carries another one is refused.
    void send(const HttpRequest &request, const RequestId &requestId, Duration timeout, Done done);

    /// Gives up the request under way, if any, and closes the connection. No call of done.
    void abandon();

    bool isBusy() const { return done_ != nullptr; }

    /// Whether the connection may carry another request. A connection that may not is dropped.
    bool isReusable() const { return channel_ != nullptr && !isBusy(); }

private:
    struct Channel;
    static void onAnswer(evhttp_request *request, void *channel);
    static int onHeaders(evhttp_request *request, void *channel);
    static void onOutput(evbuffer *buffer, const evbuffer_cb_info *info, void *channel);
    static void destroyChannel(int descriptor, short flags, void *channel);

    void open();
    void finish(Result<HttpResponse> result, bool isKept);
    Result<HttpResponse> readAnswer(evhttp_request *request) const;
    Error connectionError(ErrorKind kindOnceHandedOver, const std::string &what) const;
    bool hasUnreadBytes() const;

    EventLoop &loop_;
    const Endpoint server_;
    const std::size_t answerLimitBytes_;
    Channel *channel_ = nullptr; ///< Outlives this object until libevent lets go of it.
    RequestId requestId_;
    Done done_;                 ///< Set exactly while a request is under way.
    bool isHandedOver_ = false; ///< A byte of the request was given to the connection.
    bool isEndMarked_ = false;  ///< The answer's end is told by length, chunks or status.
    Timers::HandlePtr timeout_;
};

} // namespace qz
