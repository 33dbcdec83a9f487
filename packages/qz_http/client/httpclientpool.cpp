// A pool of client connections.
#include "qz_http/client/httpclientpool.h"

#include <algorithm>
#include <utility>

namespace qz {

HttpClientPool::HttpClientPool(EventLoop &loop, Endpoint server, HttpClientLimits limits)
    : loop_(loop)
    , server_(std::move(server))
    , limits_(limits)
{
}

HttpClientPool::Ticket HttpClientPool::send(HttpRequest request, const RequestId &requestId,
                                            Duration timeout, Done done)
{
    const Ticket ticket = ++lastTicket_;
    Waiting waiting{ ticket, std::move(request), requestId, loop_.now() + timeout,
                     std::move(done) };
    if (active_.size() < limits_.connections_) {
        start(std::move(waiting));
    } else if (waiting_.size() < limits_.queuedRequests_) {
        waiting_.push_back(std::move(waiting));
    } else {
        waiting.done_(
                failure(ErrorKind::QueueFull, "too many requests wait for " + toString(server_)));
    }
    return ticket;
}

void HttpClientPool::cancel(Ticket ticket)
{
    const auto isCancelled = [ticket](const Waiting &waiting) { return waiting.ticket_ == ticket; };
    const auto found = std::find_if(waiting_.begin(), waiting_.end(), isCancelled);
    if (found != waiting_.end()) {
        waiting_.erase(found);
        return;
    }
    if (active_.erase(ticket) > 0) {
        startWaiting();
    }
}

void HttpClientPool::start(Waiting waiting)
{
    const Duration left = waiting.deadline_ - loop_.now();
    if (left <= Duration::zero()) {
        waiting.done_(failure(ErrorKind::BackendConnectFailed,
                              "time was up before a connection was free"));
        return;
    }
    const Ticket ticket = waiting.ticket_;
    HttpConnection &connection = *(active_[ticket] = takeConnection());
    connection.send(waiting.request_, waiting.requestId_, left,
                    [this, ticket, done = std::move(waiting.done_)](Result<HttpResponse> result) {
                        finish(ticket, std::move(result), done);
                    });
}

void HttpClientPool::finish(Ticket ticket, Result<HttpResponse> result, const Done &done)
{
    const Done keptDone = done; // The connection that holds it may go.
    auto node = active_.extract(ticket);
    if (!node.empty() && node.mapped()->isReusable()) {
        idle_.push_back(std::move(node.mapped()));
    }
    startWaiting();
    keptDone(std::move(result));
}

void HttpClientPool::startWaiting()
{
    while (!waiting_.empty() && active_.size() < limits_.connections_) {
        Waiting next = std::move(waiting_.front());
        waiting_.pop_front();
        start(std::move(next));
    }
}

HttpClientPool::ConnectionPtr HttpClientPool::takeConnection()
{
    if (idle_.empty()) {
        return std::make_unique<HttpConnection>(loop_, server_, limits_.answerBytes_);
    }
    ConnectionPtr connection = std::move(idle_.back());
    idle_.pop_back();
    return connection;
}

} // namespace qz
