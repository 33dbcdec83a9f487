// One send of a request to one backend server.
#pragma once

#include "qz_forward/backends/backend.h"
#include "qz_http/stream/backendconnection.h"
#include "qz_placement/choice/placement.h"

#include <memory>
#include <string>
#include <string_view>

namespace qz {

class ForwardedRequest;

/// Connects or takes an idle connection, sends, and collects the answer. An answer up to the
/// buffer limit is held until it is whole, so that one that breaks off can be replaced by
/// that of another server; a longer one is streamed from then on.
/// @see ForwardedRequest
class ForwardAttempt : private BackendConnectionListener
{
public:
    ForwardAttempt(ForwardedRequest &run, std::shared_ptr<Backend> server,
                   const Placement &placement);
    ~ForwardAttempt() override;

    void start();

    /// More of the request's body can be sent.
    void continueBody();
    /// Back pressure from the caller.
    void setReading(bool isReading) { connection_->setReading(isReading); }

    Backend &server() { return *server_; }
    const Placement &placement() const { return placement_; }
    const HttpHead &responseHead() const { return answerHead_; }
    std::string &responseBody() { return answerBody_; }
    bool hasResponseHead() const { return hasAnswerHead_; }
    bool isHandedOver() const { return connection_ != nullptr && connection_->isHandedOver(); }
    bool isEnded() const { return isEnded_; }
    std::size_t unsentBytes() const { return connection_->unsentBytes(); }
    Duration elapsed() const;

    /// Ends the try; its connection is kept if it may carry another request.
    void finish(AttemptResult result);

private:
    void takeConnected() override;
    void takeAnswerHead(HttpHead head) override;
    void takeAnswerBody(std::string_view data) override;
    void takeAnswerEnd() override;
    void takeFailure(const Error &error) override;
    void takeSendDrained() override;

    void send();

    ForwardedRequest &run_;
    std::shared_ptr<Backend> server_;
    const Placement placement_;
    const TimePoint startedAt_;
    std::unique_ptr<BackendConnection> connection_; ///< Null once the try has ended.
    Timers::HandlePtr connectTimeout_;
    HttpHead answerHead_;
    std::string answerBody_; ///< Empty once the answer is streamed.
    bool hasAnswerHead_ = false;
    bool isSkippingAnswer_ = false;
    bool isBodyEnded_ = false; ///< The whole request was given to the connection.
    bool isEnded_ = false;
};

} // namespace qz
