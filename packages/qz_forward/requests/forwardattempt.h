// One attempt to send a request to a backend server.
#pragma once

#include "qz_forward/backends/backend.h"
#include "qz_http/stream/backendconnection.h"
#include "qz_placement/choice/placement.h"

#include <memory>
#include <string>
#include <string_view>

namespace qz {

class ForwardedRequest;

/// Opens a connection or takes an idle one, sends the request and receives the response. The
/// response is buffered until it is complete, so that another server can replace a truncated
/// one. A response that exceeds the buffer is streamed to the caller.
/// @see ForwardedRequest
class ForwardAttempt : private BackendConnectionListener
{
public:
    ForwardAttempt(ForwardedRequest &request, std::shared_ptr<Backend> server,
                   const Placement &placement);
    ~ForwardAttempt() override;

    void start();

    /// Sends the part of the request's body that has arrived since the last call.
    void continueBody();
    /// Pauses or resumes reading of the response, as back pressure from the caller.
    void setReading(bool isReading) { connection_->setReading(isReading); }

    Backend &server() const { return *server_; }
    const std::shared_ptr<Backend> &sharedServer() const { return server_; }
    const Placement &placement() const { return placement_; }
    const HttpHead &responseHead() const { return responseHead_; }
    std::string &responseBody() { return responseBody_; }
    bool hasResponseHead() const { return hasResponseHead_; }
    bool isHandedOver() const { return connection_ != nullptr && connection_->isHandedOver(); }
    bool isEnded() const { return isEnded_; }
    std::size_t unsentBytes() const { return connection_->unsentBytes(); }
    Duration elapsed() const;

    /// Ends the attempt; its connection is kept if it may carry another request.
    void finish(AttemptResult result);

private:
    void takeConnected() override;
    void takeAnswerHead(HttpHead head) override;
    void takeAnswerBody(std::string_view data) override;
    void takeAnswerEnd() override;
    void takeFailure(const Error &error) override;
    void takeSendDrained() override;

    void send();

    ForwardedRequest &request_;
    std::shared_ptr<Backend> server_;
    const Placement placement_;
    const TimePoint startTime_;
    std::unique_ptr<BackendConnection> connection_; ///< Null once the attempt has ended.
    Timers::HandlePtr connectTimer_;
    HttpHead responseHead_;
    std::string responseBody_; ///< Empty once the response is streamed.
    bool hasResponseHead_ = false;
    bool isNewConnection_ = true; ///< Not an idle one that carried requests before.
    bool isSkippingResponse_ = false;
    bool isBodyEnded_ = false; ///< The whole request has been given to the connection.
    bool isEnded_ = false;
};

} // namespace qz
