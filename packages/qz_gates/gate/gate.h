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

/// All work for one backend server passes its gate: it queues requests by rank, runs as many
/// at once as the server has slots, and gathers evidence of the server's health.
///
/// Invariants: each request that was taken is answered exactly once, unless it is cancelled.
/// A request is answered as not run only if no byte of it was given to a connection, or if
/// the server shed it. No request is sent after its time was up, nor once the gate is closed.
/// @see GateSet, AdmissionQueue, HttpClientPool
class Gate
{
public:
    using Done = std::function<void(ExecuteAnswer)>;

    Gate(EventLoop &loop, const BackendServer &server, const std::vector<RankShare> &ranks);
    Gate(const Gate &) = delete;
    Gate &operator=(const Gate &) = delete;

    /// Takes a request and calls @p done once, possibly at once.
    void execute(ExecuteRequest request, Done done);

    /// The caller has gone: a queued request is dropped, a running one is given up if it is
    /// repeatable. A running one that is not goes on, and its answer is still reported.
    void cancel(const RequestId &requestId);

    /// To be called several times a second: drops what expired and renews the weight.
    void tick();

    /// No new work from now on, for the reason @p kind: queued requests are answered so.
    void close(ErrorKind kind);
    void reopen() { closedFor_.reset(); }
    bool isClosed() const { return closedFor_.has_value(); }

    /// Takes new slots and labels of the server.
    void setServer(const BackendServer &server) { queue_.setSlots(server.listed_.slots_); }
    void setRanks(std::vector<RankShare> ranks);

    /// What the other servers of the service show, for comparison.
    void setPeers(ServiceBaseline baseline, std::vector<EvidenceDigest> others);
    EvidenceDigest evidence() const { return evidence_.digest(loop_.now()); }
    double weight() const { return weight_.weight(); }
    const Verdict &verdict() const { return verdict_; }

    /// Where the server was when the gate was made; a gate never moves to another address.
    const Endpoint &endpoint() const { return connections_.server(); }

    /// Whether the server itself announced that it takes no new work.
    bool isDrainAnnounced() const { return isDrainAnnounced_; }

    std::size_t requestCount() const { return requests_.size(); }
    GateLoadReport digest(const std::string &kind) const;
    nlohmann::json dumpState() const;

private:
    struct Pending
    {
        ExecuteRequest request_;
        Done done_;
        TimePoint deadline_;
        std::optional<HttpClientPool::Ticket> connection_; ///< Set while it runs.
        ServerEvidence::InFlightId flight_ = 0;
        TimePoint startedAt_;
    };
    using Requests = std::map<std::uint64_t, Pending>;

    void startWaiting();
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
    std::vector<EvidenceDigest> others_;
    Requests requests_; ///< Queued and running; ids are those of the queue's tickets.
    std::map<RequestId, std::uint64_t> ids_; ///< One for each of requests_.
    std::uint64_t lastId_ = 0;
    std::size_t rankCount_;
    std::optional<ErrorKind> closedFor_;
    bool isDrainAnnounced_ = false;
};

} // namespace qz
