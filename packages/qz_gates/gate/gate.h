// The gate of one backend server.
#pragma once

#include "qz_admission/queue/admissionqueue.h"
#include "qz_gates/directory/backenddirectory.h"
#include "qz_gates/messages/executemessages.h"
#include "qz_health/detection/outlierdetector.h"
#include "qz_health/evidence/serverevidence.h"
#include "qz_health/weights/weightcontroller.h"
#include "qz_http/client/httpclientpool.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace qz {

/// Receives all requests for one backend server, queues them by rank, runs at most as many at the
/// same time as the server has slots, and collects evidence of the server's health.
///
/// Invariants: Each accepted request is answered exactly once. A request is answered as not run
/// only if none of its bytes were handed to a connection or the server shed it. No request is sent
/// after its deadline or after the gate was closed.
/// @see GateSet, AdmissionQueue, HttpClientPool
class Gate
{
public:
    using Done = std::function<void(ExecuteAnswer)>;

    Gate(EventLoop &loop, const BackendServer &server, const std::vector<RankShare> &ranks);
    Gate(const Gate &) = delete;
    Gate &operator=(const Gate &) = delete;

    /// Queues a request. Calls @p done exactly once, possibly before this function returns.
    void execute(ExecuteRequest request, Done done);

    /// Cancels a request because its caller disconnected. Drops a queued request and aborts a
    /// running one if it is repeatable; both are answered with CallerGone. A running request that
    /// is not repeatable continues, and its result is still reported.
    void cancel(const RequestId &requestId);

    /// Drops expired requests, updates the weight and starts queued requests. Call this several
    /// times per second.
    void tick();

    /// Stops accepting requests. Queued and new requests are answered with the error @p kind;
    /// running requests continue.
    void close(ErrorKind kind);

    /// Accepts requests again after close().
    void reopen() { closeReason_.reset(); }
    bool isClosed() const { return closeReason_.has_value(); }

    /// Applies the server's current number of slots.
    void setServer(const BackendServer &server) { queue_.setSlots(server.listed_.slots_); }

    /// Applies the ranks of newly adopted rules.
    void setRanks(std::vector<RankShare> ranks);

    /// Sets the evidence of the other servers of the service, to which outlier detection compares
    /// this server.
    void setPeers(ServiceBaseline baseline, std::vector<EvidenceDigest> otherServers);
    EvidenceDigest evidence() const { return evidence_.digest(loop_.now()); }
    double weight() const { return weight_.weight(); }
    const Verdict &verdict() const { return verdict_; }

    /// Returns the server's address when the gate was created. It never changes: a server that
    /// moves to another address gets a new gate.
    const Endpoint &endpoint() const { return connections_.server(); }

    /// Returns whether the server announced, in its latest response, that it accepts no new work.
    bool isDrainAnnounced() const { return isDrainAnnounced_; }

    /// Returns the number of queued and running requests.
    std::size_t requestCount() const { return requests_.size(); }

    /// Returns the current load. Its expected service time is that of @p kind.
    GateLoadReport loadReport(const std::string &kind) const;
    nlohmann::json dumpState() const;

private:
    struct Pending
    {
        ExecuteRequest request_;
        Done done_;
        TimePoint deadline_;
        std::optional<HttpClientPool::Ticket> connection_; ///< Set while the request runs.
        ServerEvidence::InFlightId inFlightId_ = 0;
        TimePoint startedAt_;
    };
    using Requests = std::map<std::uint64_t, Pending>;

    void startQueuedRequests();
    void start(std::uint64_t id);
    void finish(std::uint64_t id, Result<HttpResponse> result);
    void fail(std::uint64_t id, ErrorKind kind, const std::string &message);
    void answer(std::uint64_t id, ExecuteAnswer answer);
    HttpRequest makeRequest(const Pending &pending) const;

    EventLoop &loop_;
    const BackendServerId server_;
    AdmissionQueue queue_;
    HttpClientPool connections_;
    ServerEvidence evidence_;
    OutlierDetector detector_;
    WeightController weight_;
    Verdict verdict_;
    std::vector<EvidenceDigest> otherServers_;
    Requests requests_; ///< Queued and running, by their ids in queue_.
    std::map<RequestId, std::uint64_t> idsByRequestId_; ///< One entry per request of requests_.
    std::uint64_t lastId_ = 0;
    std::size_t rankCount_;
    std::optional<ErrorKind> closeReason_;
    bool isDrainAnnounced_ = false;
};

} // namespace qz
