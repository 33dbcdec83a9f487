// Connection, request and response of an attempt.
#include "qz_forward/requests/forwardattempt.h"

#include "qz_core/logging/logger.h"
#include "qz_forward/requests/forwardedrequest.h"
#include "qz_forward/requests/forwarder.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Responses up to this size are buffered until they are complete.
constexpr std::size_t responseBufferBytes = std::size_t(64) * 1024;

} // namespace

ForwardAttempt::ForwardAttempt(ForwardedRequest &request, std::shared_ptr<Backend> server,
                               const Placement &placement)
    : request_(request)
    , server_(std::move(server))
    , placement_(placement)
    , startTime_(request.forwarder().loop().now())
{
    const RouteLatency &latency =
            request.forwarder().latency(server_->listed().service_, request.route());
    const double slowness = std::max(1.0, server_->health().relativeLatency());
    const auto overdueAge = std::chrono::duration_cast<Duration>(latency.overdueAge() * slowness);
    server_->beginRequest(startTime_, startTime_ + overdueAge);
}

ForwardAttempt::~ForwardAttempt()
{
    if (!isEnded_) {
        finish(AttemptResult::Cancelled);
    }
}

Duration ForwardAttempt::elapsed() const
{
    return request_.forwarder().loop().now() - startTime_;
}

void ForwardAttempt::start()
{
    Forwarder &forwarder = request_.forwarder();
    connection_ = server_->takeIdleConnection(request_.isRepeatable(), startTime_);
    if (connection_ != nullptr) {
        isNewConnection_ = false;
        connection_->setListener(this);
        send();
        return;
    }
    connection_ = std::make_unique<BackendConnection>(forwarder.loop(), server_->listed().endpoint_,
                                                      forwarder.settings().silenceLimit_);
    connection_->setListener(this);
    connectTimer_ = forwarder.loop().callAfter(forwarder.settings().connectTimeout_, [this] {
        request_.handleAttemptFailure(
                *this, failure(ErrorKind::BackendConnectFailed, "connect timed out"));
    });
}

void ForwardAttempt::takeConnected()
{
    connectTimer_.reset();
    request_.forwarder().recordConnected(*server_);
    if (!server_->isOpen()) {
        request_.handleAttemptFailure(
                *this, failure(ErrorKind::BackendConnectFailed, "the server is leaving"));
        return;
    }
    send();
}

void ForwardAttempt::send()
{
    connection_->sendHead(request_.makeRequestHead(*server_));
    connection_->sendBody(request_.bufferedBody());
    continueBody();
}

void ForwardAttempt::continueBody()
{
    if (connection_ == nullptr || !connection_->isHandedOver() || isBodyEnded_) {
        return;
    }
    connection_->sendBody(request_.takeStreamedBody());
    if (request_.isRequestComplete()) {
        isBodyEnded_ = true;
        connection_->endRequest();
    }
}

void ForwardAttempt::takeAnswerHead(HttpHead head)
{
    // A late response to an earlier request may arrive in place of this one's.
    const auto id = head.headers_.find(request_.forwarder().settings().headers_.requestId_);
    isSkippingResponse_ = id && *id != request_.requestId();
    if (isSkippingResponse_) {
        connection_->skipAnswer();
        return;
    }
    if (id) {
        request_.forwarder().recordAnswerHead(*server_, isNewConnection_);
    }
    if (id && server_->listed().isInstance_) {
        request_.applyLeavingServers(head.headers_);
    } else if (id) {
        request_.forwarder().recordStatements(*server_, head);
    }
    removeFieldsOfConnection(head.headers_);
    responseHead_ = std::move(head);
    hasResponseHead_ = true;
}

void ForwardAttempt::takeAnswerBody(std::string_view data)
{
    if (request_.isStreaming(*this)) {
        request_.streamResponse(*this, data);
        return;
    }
    responseBody_.append(data);
    if (responseBody_.size() <= responseBufferBytes) {
        return;
    }
    if (request_.startStreaming(*this)) {
        request_.streamResponse(*this, std::exchange(responseBody_, {}));
    } else {
        responseBody_.clear();
        connection_->rejectAnswer("a long response that can't be passed on");
    }
}

void ForwardAttempt::takeAnswerEnd()
{
    request_.handleAttemptResponse(*this);
}

void ForwardAttempt::takeFailure(const Error &error)
{
    request_.handleAttemptFailure(*this, error);
}

void ForwardAttempt::takeSendDrained()
{
    request_.sendMoreBody();
}

void ForwardAttempt::finish(AttemptResult result)
{
    isEnded_ = true;
    connectTimer_.reset();
    server_->endRequest(startTime_);
    const bool isComplete = result == AttemptResult::Answered
            || result == AttemptResult::ServerError || result == AttemptResult::Shed
            || result == AttemptResult::Unable;
    if (connection_ != nullptr && isComplete && isBodyEnded_) {
        server_->returnConnection(std::move(connection_));
    }
    connection_.reset();
    if (result == AttemptResult::Silent || result == AttemptResult::ConnectFailed) {
        server_->closeIdleConnections();
    }
    // An instance is not to blame for what servers answer through it.
    const bool isAnswerOfServer =
            result == AttemptResult::ServerError || result == AttemptResult::Shed;
    const AttemptResult recorded =
            server_->listed().isInstance_ && isAnswerOfServer ? AttemptResult::Answered : result;
    request_.forwarder().recordAttempt(*server_, recorded, elapsed(), request_.route(),
                                       isNewConnection_);
}

} // namespace qz
