// A try's connection, request and answer.
#include "qz_forward/run/forwardtry.h"

#include "qz_core/logging/logger.h"
#include "qz_forward/run/forwarder.h"
#include "qz_forward/run/forwardrun.h"

#include <utility>

namespace qz {

namespace {

/// Answers up to this size are held until they are whole.
constexpr std::size_t answerBufferBytes = std::size_t(64) * 1024;

} // namespace

ForwardTry::ForwardTry(ForwardRun &run, std::shared_ptr<Backend> server, const Placement &placement)
    : run_(run)
    , server_(std::move(server))
    , placement_(placement)
    , startedAt_(run.forwarder().loop().now())
{
    server_->beginRequest(startedAt_);
}

ForwardTry::~ForwardTry()
{
    if (!isEnded_) {
        finish(TryResult::Cancelled);
    }
}

Duration ForwardTry::elapsed() const
{
    return run_.forwarder().loop().now() - startedAt_;
}

void ForwardTry::start()
{
    Forwarder &forwarder = run_.forwarder();
    connection_ = server_->takeIdle(run_.isRepeatable(), startedAt_);
    if (connection_ != nullptr) {
        connection_->setListener(this);
        send();
        return;
    }
    connection_ = std::make_unique<BackendConnection>(forwarder.loop(), server_->listed().endpoint_,
                                                      forwarder.settings().silenceLimit_);
    connection_->setListener(this);
    connectTimeout_ = forwarder.loop().callAfter(forwarder.settings().connectTimeout_, [this] {
        run_.takeTryFailure(*this, failure(ErrorKind::BackendConnectFailed, "connect timed out"));
    });
}

void ForwardTry::takeConnected()
{
    connectTimeout_.reset();
    if (!server_->isOpen()) {
        run_.takeTryFailure(*this,
                            failure(ErrorKind::BackendConnectFailed, "the server is leaving"));
        return;
    }
    send();
}

void ForwardTry::send()
{
    connection_->sendHead(run_.makeRequestHead(*server_));
    connection_->sendBody(run_.heldBody());
    continueBody();
}

void ForwardTry::continueBody()
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

void ForwardTry::takeAnswerHead(HttpHead head)
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

void ForwardTry::takeAnswerBody(std::string_view data)
{
    if (run_.isStreaming(*this)) {
        run_.streamAnswer(*this, data);
        return;
    }
    answerBody_.append(data);
    if (answerBody_.size() > answerBufferBytes && run_.startStreaming(*this)) {
        run_.streamAnswer(*this, std::exchange(answerBody_, {}));
    }
}

void ForwardTry::takeAnswerEnd()
{
    run_.takeTryAnswer(*this);
}

void ForwardTry::takeFailure(const Error &error)
{
    run_.takeTryFailure(*this, error);
}

void ForwardTry::takeSendDrained()
{
    run_.pullBody();
}

void ForwardTry::finish(TryResult result)
{
    isEnded_ = true;
    connectTimeout_.reset();
    server_->endRequest(startedAt_);
    const bool isWhole = result == TryResult::Answered || result == TryResult::ServerError
            || result == TryResult::Shed;
    if (connection_ != nullptr && isWhole && isBodyEnded_) {
        server_->putIdle(std::move(connection_));
    }
    connection_.reset();
    if (result == TryResult::Silent || result == TryResult::ConnectFailed) {
        server_->dropAllIdle();
    }
    run_.forwarder().recordTry(*server_, result, elapsed(), run_.isRepeatable());
}

} // namespace qz
