// The queue of requests that wait for the slots of one backend server.
#pragma once

#include "qz_admission/estimates/servicetimes.h"
#include "qz_admission/estimates/waitcorrection.h"
#include "qz_admission/policies/admissionpolicy.h"
#include "qz_admission/queue/admissionrequest.h"
#include "qz_admission/queue/overloaddetector.h"
#include "qz_core/errors/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace qz {

/// Decides which request takes the next free slot of a backend server, which requests wait and
/// which are refused. Has no sockets or timers: the owner calls startNext() after each offer() and
/// finish() until it returns nothing, and takeDroppedRequests() at least once per timer tick.
/// Every request that offer() accepts leaves the queue in exactly one way: through startNext(),
/// takeDroppedRequests() or cancel().
/// @see AdmissionPolicy, ServiceTimes
class AdmissionQueue
{
public:
    class Builder;

    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;
    AdmissionQueue(AdmissionQueue &&) = default;
    AdmissionQueue &operator=(AdmissionQueue &&) = default;
    ~AdmissionQueue() = default;

    /// Queues @p request, whose id must not be queued or running here. A rank after the last one
    /// is treated as the last.
    /// Errors: QueueFull if the queue is full, or if the rank is overloaded and the answer would
    /// miss its target; DeadlineUnreachable if the work ahead of the request and the service time
    /// of its kind leave no time to answer before its deadline.
    Result<void> offer(AdmissionRequest request, TimePoint now);

    /// Assigns a slot to the next request and returns the request. Returns nothing if no slot is
    /// free or no request is queued.
    std::optional<AdmissionRequest> startNext(TimePoint now);

    /// Frees the slot of the request @p id, if it is running. Pass true as @p recordServiceTime if
    /// the time since its start is a valid service time of its kind, which it is not after a
    /// cancellation or a broken connection.
    void finish(std::uint64_t id, TimePoint now, bool recordServiceTime);

    /// Removes a queued request. Returns false if it isn't queued.
    bool cancel(std::uint64_t id);

    /// Returns the requests that expired or were displaced since the last call.
    std::vector<DroppedRequest> takeDroppedRequests(TimePoint now);

    std::size_t queued() const { return queued_.size(); }
    std::size_t running() const { return running_.size(); }
    int slots() const { return slots_; }

    /// Sets the number of slots. If more requests are running, they continue, and no other request
    /// starts until a slot is free.
    void setSlots(int slots);

    /// Sets the ranks, from most to least urgent. There must be at least one.
    void setRanks(std::vector<RankShare> ranks);

    /// Returns how long a new request of @p rank is expected to wait for a slot.
    Duration estimatedWait(std::size_t rank, TimePoint now) const;

    /// Returns the expected service time of @p kind; zero if no service time was measured yet.
    Duration expectedServiceTime(const std::string &kind) const
    {
        return serviceTimes_.expected(kind);
    }

    nlohmann::json dumpState() const;

private:
    struct RunningRequest
    {
        QueuedRequest queued_;
        TimePoint startedAt_;
    };
    struct Expiry
    {
        TimePoint latestStart_;
        std::uint64_t id_ = 0;
        friend bool operator<(const Expiry &a, const Expiry &b)
        {
            return a.latestStart_ != b.latestStart_ ? a.latestStart_ < b.latestStart_
                                                    : a.id_ < b.id_;
        }
    };
    using QueuedRequests = std::unordered_map<std::uint64_t, QueuedRequest>;

    AdmissionQueue() = default;
    SlotLoad slotLoad(TimePoint now) const;
    Duration predictedWait(const QueuedRequest &queued, TimePoint now) const;
    TimePoint expectedAnswerTime(const QueuedRequest &queued, TimePoint now) const;
    Duration targetOf(std::size_t rank) const;
    bool isLimitedToTarget(std::size_t rank, TimePoint now) const;
    Result<void> ensureTimeLimit(const QueuedRequest &queued, TimePoint now);
    bool displaceLowerWorth(const QueuedRequest &queued, Duration excess, TimePoint now);
    bool ensureQueueSpace(const QueuedRequest &queued, TimePoint now);
    void insert(QueuedRequest queued, TimePoint now);
    void drop(std::uint64_t id, ErrorKind kind, TimePoint now);
    void dropExpired(TimePoint now);
    void recordOverload(const QueuedRequest &queued, TimePoint now);
    static Expiry expiryOf(const QueuedRequest &queued);

    AdmissionPolicy policy_;
    int slots_ = 1;
    std::size_t maxQueued_ = 1;
    std::vector<RankShare> ranks_;                    ///< At least one.
    std::vector<OverloadDetector> overloadDetectors_; ///< One per rank, also for removed ranks.
    std::vector<WaitCorrection> waitCorrections_;     ///< Same size as overloadDetectors_.
    ServiceTimes serviceTimes_;
    QueuedRequests queued_;     ///< At most maxQueued_; the policy holds the same requests.
    std::set<Expiry> expiries_; ///< One per queued request.

    /// Holds more than slots_ requests after slots_ was lowered below their number: these continue,
    /// and no other request starts until a slot is free.
    std::unordered_map<std::uint64_t, RunningRequest> running_;

    std::vector<DroppedRequest> dropped_;
    std::uint64_t nextSequence_ = 0;
    TimePoint latestTime_{}; ///< The latest time passed in, for calls without a time.
};

/// Builds one AdmissionQueue. Settings that are not set keep their defaults.
class AdmissionQueue::Builder
{
public:
    Builder &setSlots(int slots);
    Builder &setRanks(std::vector<RankShare> ranks);
    Builder &setMaxQueued(std::size_t maxQueued);
    Builder &setPolicy(AdmissionPolicy policy);

    /// Call this at most once: it moves the policy into the queue.
    AdmissionQueue build();

private:
    int slots_ = 1;
    std::vector<RankShare> ranks_{ RankShare{} };
    std::size_t maxQueued_ = 256; ///< Over all ranks.
    AdmissionPolicy policy_ = SharedRanksPolicy();
};

} // namespace qz
