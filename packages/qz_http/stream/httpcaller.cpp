// Control calls over a kept connection.
#include "qz_http/stream/httpcaller.h"

#include <utility>

namespace qz {

HttpCaller::HttpCaller(EventLoop &loop, Endpoint server, Duration connectTimeout,
                       Duration silenceLimit, std::size_t answerLimitBytes)
    : loop_(loop)
    , server_(std::move(server))
    , connectTimeout_(connectTimeout)
    , silenceLimit_(silenceLimit)
    , answerLimitBytes_(answerLimitBytes)
{
}

void HttpCaller::call(const HttpRequest &request, Duration timeout, Done done)
{
    request_ = request;
    response_ = HttpResponse();
    isTooLarge_ = false;
    done_ = std::move(done);
    timeout_ = loop_.callAfter(timeout, [this] {
        connection_.reset();
        finish(failure(ErrorKind::BackendTimeout, "no answer in time"));
    });
    if (connection_ != nullptr && connection_->isReusable()) {
        connection_->setListener(this);
        send();
        return;
    }
    connection_ = std::make_unique<BackendConnection>(loop_, server_, silenceLimit_);
    connection_->setListener(this);
    connectTimer_ = loop_.callAfter(connectTimeout_, [this] {
        connection_.reset();
        finish(failure(ErrorKind::BackendConnectFailed, "connect timed out"));
    });
}

void HttpCaller::abandon()
{
    if (done_ != nullptr) {
        done_ = nullptr;
        timeout_.reset();
        connectTimer_.reset();
        connection_.reset();
    }
}

void HttpCaller::takeConnected()
{
    connectTimer_.reset();
    send();
}

void HttpCaller::send()
{
    HttpHead head;
    head.method_ = request_.method_;
    head.target_ = request_.target_;
    head.headers_ = request_.headers_;
    if (!head.headers_.find("Host")) {
        head.headers_.set("Host", toString(server_));
    }
    if (!request_.body_.empty()) {
        head.framing_ = BodyFraming::Length;
        head.length_ = request_.body_.size();
    }
    connection_->sendHead(head);
    connection_->sendBody(request_.body_);
    connection_->endRequest();
}

void HttpCaller::takeAnswerHead(HttpHead head)
{
    response_.status_ = head.status_;
    response_.headers_ = std::move(head.headers_);
}

void HttpCaller::takeAnswerBody(std::string_view data)
{
    isTooLarge_ = isTooLarge_ || response_.body_.size() + data.size() > answerLimitBytes_;
    if (isTooLarge_) {
        connection_->rejectAnswer("the answer is too large");
    } else {
        response_.body_.append(data);
    }
}

void HttpCaller::takeAnswerEnd()
{
    connection_->setListener(nullptr);
    finish(std::move(response_));
}

void HttpCaller::takeFailure(const Error &error)
{
    connection_.reset();
    finish(isTooLarge_ ? failure(ErrorKind::AnswerTooLarge, error.message_) : error);
}

void HttpCaller::finish(Result<HttpResponse> result)
{
    timeout_.reset();
    connectTimer_.reset();
    const Done done = std::exchange(done_, nullptr);
    done(std::move(result));
}

} // namespace qz
