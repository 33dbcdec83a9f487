// Several client connections to one server, reused.
#pragma once

#include "qz_http/client/httpconnection.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace qz {

struct HttpClientLimits
{
    std::size_t connections_ = 4;
    std::size_t answerBytes_ = 4UL * 1024 * 1024;
    std::size_t queuedRequests_ = 1000;
};

/// Sends requests over at most so many connections at once; further ones wait their turn.
/// The time a request waits counts against its timeout.
/// @see HttpConnection for the errors; QueueFull if too many wait.
class HttpClientPool
{
public:
    using Done = HttpConnection::Done;
    using Ticket = std::uint64_t;

    HttpClientPool(EventLoop &loop, Endpoint server, HttpClientLimits limits);
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    /// Calls @p done once, unless the request is cancelled before.
    Ticket send(HttpRequest request, const RequestId &requestId, Duration timeout, Done done);

    /// Gives a request up: it leaves the queue, or its connection is closed. No call of done.
    void cancel(Ticket ticket);

    std::size_t busyCount() const { return active_.size(); }
    std::size_t connectionCount() const { return active_.size() + idle_.size(); }
    const Endpoint &server() const { return server_; }

private:
    struct Waiting
    {
        Ticket ticket_;
        HttpRequest request_;
        RequestId requestId_;
        TimePoint deadline_;
        Done done_;
    };
    using ConnectionPtr = std::unique_ptr<HttpConnection>;

    void start(Waiting waiting);
    void finish(Ticket ticket, Result<HttpResponse> result, const Done &done);
    void startWaiting();
    ConnectionPtr takeConnection();

    EventLoop &loop_;
    const Endpoint server_;
    const HttpClientLimits limits_;
    std::map<Ticket, ConnectionPtr> active_; ///< Never more than limits_.connections_.
    std::vector<ConnectionPtr> idle_;
    std::deque<Waiting> waiting_;
    Ticket lastTicket_ = 0;
};

} // namespace qz
