// The answer's side of an exchange.
#include "qz_http/stream/callerexchange.h"

#include "qz_http/stream/callerconnection.h"

#include <utility>

namespace qz {

CallerExchange::CallerExchange(CallerConnection &connection, HttpHead head, TimePoint arrivedAt)
    : connection_(&connection)
    , head_(std::move(head))
    , arrivedAt_(arrivedAt)
{
}

std::string CallerExchange::takeBody()
{
    std::string taken = std::move(body_);
    body_.clear();
    if (connection_ != nullptr) {
        connection_->resumeReading();
    }
    return taken;
}

void CallerExchange::reply(HttpHead head, std::string_view body)
{
    head.framing_ = BodyFraming::Length;
    head.length_ = body.size();
    startReply(std::move(head));
    sendBody(body);
    endReply();
}

void CallerExchange::startReply(HttpHead head)
{
    if (connection_ == nullptr || hasReplyStarted_) {
        return;
    }
    hasReplyStarted_ = true;
    // Without chunks the end of a body of unknown length is told by closing.
    if (head.framing_ == BodyFraming::Chunked && !head_.isHttp11_) {
        head.framing_ = BodyFraming::UntilClose;
    }
    if (head.framing_ == BodyFraming::UntilClose) {
        connection_->closeAfterReply();
    }
    replyFraming_ = head.framing_;
    head.isKeptAlive_ = connection_->isKeptAlive();
    connection_->send(formatResponseHead(head));
}

void CallerExchange::sendBody(std::string_view data)
{
    if (connection_ == nullptr || data.empty() || head_.method_ == "HEAD") {
        return;
    }
    if (replyFraming_ == BodyFraming::Chunked) {
        connection_->send(formatChunk(data));
    } else {
        connection_->send(data);
    }
}

void CallerExchange::endReply()
{
    if (connection_ == nullptr) {
        return;
    }
    if (replyFraming_ == BodyFraming::Chunked && head_.method_ != "HEAD") {
        connection_->send(lastChunk);
    }
    connection_->finishExchange();
}

void CallerExchange::cut()
{
    if (connection_ != nullptr) {
        connection_->reset();
    }
}

std::size_t CallerExchange::unsentBytes() const
{
    return connection_ == nullptr ? 0 : connection_->unsentBytes();
}

} // namespace qz
