// A try's connection, request and answer.
#include "qz_forward/requests/forwardattempt.h"

#include "qz_core/logging/logger.h"
#include "qz_forward/requests/forwardedrequest.h"
#include "qz_forward/requests/forwarder.h"

#include <utility>

namespace qz {

namespace {

/// Answers up to this size are held until they are whole.
constexpr std::size_t answerBufferBytes = std::size_t(64) * 1024;

} // namespace

ForwardAttempt::ForwardAttempt(ForwardedRequest &run, std::shared_ptr<Backend> server,
                               const Placement &placement)
    : run_(run)
    , server_(std::move(server))
    , placement_(placement)
    , startedAt_(run.forwarder().loop().now())
{
    server_->beginRequest(startedAt_);
}

ForwardAttempt::~ForwardAttempt()
{
    if (!isEnded_) {
        finish(AttemptResult::Cancelled);
    }
}

Duration ForwardAttempt::elapsed() const
{
    return run_.forwarder().loop().now() - startedAt_;
}

void ForwardAttempt::start()
{
    Forwarder &forwarder = run_.forwarder();
    connection_ = server_->takeIdleConnection(run_.isRepeatable(), startedAt_);
    if (connection_ != nullptr) {
        connection_->setListener(this);
        send();
        return;
    }
    connection_ = std::make_unique<BackendConnection>(forwarder.loop(), server_->listed().endpoint_,
                                                      forwarder.settings().silenceLimit_);
    connection_->setListener(this);
    connectTimeout_ = forwarder.loop().callAfter(forwarder.settings().connectTimeout_, [this] {
        run_.handleAttemptFailure(*this,
                                  failure(ErrorKind::BackendConnectFailed, "connect timed out"));
    });
}

void ForwardAttempt::takeConnected()
{
    connectTimeout_.reset();
    if (!server_->isOpen()) {
        run_.handleAttemptFailure(
                *this, failure(ErrorKind::BackendConnectFailed, "the server is leaving"));
        return;
    }
    send();
}

void ForwardAttempt::send()
{
    connection_->sendHead(run_.makeRequestHead(*server_));
    connection_->sendBody(run_.bufferedBody());
    continueBody();
}

void ForwardAttempt::continueBody()
{
    if (connection_ == nullptr || !connection_->isHandedOver() || isBodyEnded_) {
        return;
    }
    connection_->sendBody(run_.takeStreamedBody());
    if (run_.isRequestComplete()) {
        isBodyEnded_ = true;
        connection_->endRequest();
    }
}

void ForwardAttempt::takeAnswerHead(HttpHead head)
{
    // An answer to an earlier request may come late, where this one's is due.
    const auto id = head.headers_.find(run_.forwarder().settings().headers_.requestId_);
    isSkippingAnswer_ = id && *id != run_.requestId();
    if (isSkippingAnswer_) {
        connection_->skipAnswer();
        return;
    }
    answerHead_ = std::move(head);
    hasAnswerHead_ = true;
}

void ForwardAttempt::takeAnswerBody(std::string_view data)
{
    if (run_.isStreaming(*this)) {
        run_.streamResponse(*this, data);
        return;
    }
    answerBody_.append(data);
    if (answerBody_.size() > answerBufferBytes && run_.startStreaming(*this)) {
        run_.streamResponse(*this, std::exchange(answerBody_, {}));
    }
}

void ForwardAttempt::takeAnswerEnd()
{
    run_.handleAttemptResponse(*this);
}

void ForwardAttempt::takeFailure(const Error &error)
{
    run_.handleAttemptFailure(*this, error);
}

void ForwardAttempt::takeSendDrained()
{
    run_.sendMoreBody();
}

void ForwardAttempt::finish(AttemptResult result)
{
    isEnded_ = true;
    connectTimeout_.reset();
    server_->endRequest(startedAt_);
    const bool isWhole = result == AttemptResult::Answered || result == AttemptResult::ServerError
            || result == AttemptResult::Shed;
    if (connection_ != nullptr && isWhole && isBodyEnded_) {
        server_->returnConnection(std::move(connection_));
    }
    connection_.reset();
    if (result == AttemptResult::Silent || result == AttemptResult::ConnectFailed) {
        server_->closeIdleConnections();
    }
    run_.forwarder().recordAttempt(*server_, result, elapsed(), run_.isRepeatable());
}

} // namespace qz
