// One request received by the server and the one answer it gets.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/messages/httpmessages.h"

#include <functional>
#include <memory>
#include <optional>

struct evhtp_request;
struct event;

namespace qz {

/// Holds a request until its answer is given. It may outlive the caller's connection: the
/// answer then goes nowhere, and the caller-gone handler has run.
///
/// While the answer is worked out, no further request of the connection is taken. Bytes
/// that the caller sends in that time (a pipelined request) are not served: the answer
/// says "Connection: close" and the connection ends after it.
/// @see HttpServer
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    /// Ends the connection of a request once its answer is on the way.
    using Closer = std::function<void(evhtp_request *)>;

    HttpExchange(EventLoop &loop, evhtp_request *request, Closer closer);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const { return request_; }

    /// Why the request must be refused, if the server found a reason.
    const std::optional<Error> &problem() const { return problem_; }

    /// Sends the answer, once. Does nothing if the caller has gone.
    void reply(const HttpResponse &response);

    /// Closes the connection without an answer.
    void abort();

    /// Runs @p handler once if the caller's connection ends before the answer.
    void setCallerGoneHandler(std::function<void()> handler) { callerGone_ = std::move(handler); }

    bool isOpen() const { return evhtp_ != nullptr; }

    /// Makes the answer close the connection.
    void closeAfterReply() { isClosing_ = true; }

private:
    friend class HttpServer;
    static void onPeek(int descriptor, short flags, void *self);

    void readRequest();
    void setProblem(Error problem);
    void startPeeking();
    void stopPeeking();
    void loseCaller();
    bool hasUnreadBytes() const;

    EventLoop &loop_;
    evhtp_request *evhtp_; ///< Null once the answer was sent or the caller has gone.
    const Closer closer_;
    HttpRequest request_;
    std::optional<Error> problem_;
    std::function<void()> callerGone_;
    event *peek_ =
            nullptr; ///< Tells while the answer is worked out that the caller sends or leaves.
    Timers::HandlePtr start_; ///< Hands the request to the handler on the loop's next turn.
    bool isPaused_ = false;   ///< The whole request has been read.
    bool isClosing_ = false;
};

} // namespace qz
