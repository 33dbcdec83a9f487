// Calls an HTTP server, one call at a time, for control traffic.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/stream/backendconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace qz {

/// Size of an answer's body over which a control call fails.
constexpr std::size_t defaultAnswerLimitBytes = std::size_t(8) * 1024 * 1024;

/// Keeps one connection and makes it anew when it is of no further use. A call is sent once;
/// whether a failed one took effect is not known.
/// @see BackendConnection
class HttpCaller : private BackendConnectionListener
{
public:
    using Done = std::function<void(Result<HttpResponse>)>;

    /// A connection that does not stand after @p connectTimeout is given up; one whose peer
    /// is silent for @p silenceLimit ends. The body of an answer has at most @p answerLimitBytes.
    HttpCaller(EventLoop &loop, Endpoint server, Duration connectTimeout, Duration silenceLimit,
               std::size_t answerLimitBytes = defaultAnswerLimitBytes);

    /// Calls @p done once: with the answer, or with BackendConnectFailed, BackendCut,
    /// BackendTimeout, AnswerMismatch or AnswerTooLarge. Only while no other call is under way.
    void call(const HttpRequest &request, Duration timeout, Done done);

    /// Gives up the call under way, if any, without calling done.
    void abandon();

    bool isBusy() const { return done_ != nullptr; }

private:
    void takeConnected() override;
    void takeAnswerHead(HttpHead head) override;
    void takeAnswerBody(std::string_view data) override;
    void takeAnswerEnd() override;
    void takeFailure(const Error &error) override;
    void takeSendDrained() override { }

    void send();
    void finish(Result<HttpResponse> result);

    EventLoop &loop_;
    const Endpoint server_;
    const Duration connectTimeout_;
    const Duration silenceLimit_;
    const std::size_t answerLimitBytes_;
    std::unique_ptr<BackendConnection> connection_;
    HttpRequest request_;
    HttpResponse response_;
    bool isTooLarge_ = false; ///< The answer has exceeded the limit; its rest is dropped.
    Done done_;               ///< Set exactly while a call is under way.
    Timers::HandlePtr timeout_;
    Timers::HandlePtr connectTimer_;
};

} // namespace qz
