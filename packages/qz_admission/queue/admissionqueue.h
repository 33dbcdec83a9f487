// The queue of one gate: slots of one backend server, and the requests that wait for them.
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

/// Decides which request takes the next free slot of a backend server, which waits and which
/// is refused. Holds no socket and no timer: the owner calls startNext() after each offer and
/// each finish until it returns nothing, and takeDroppedRequests() at least once per timer tick.
/// Every ticket that was taken by offer() leaves in exactly one way: by startNext(),
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

    /// Queues @p ticket; its id must not be queued or running here.
    /// A rank beyond the last one counts as the last.
    /// Errors: QueueFull if the queue is, or if the rank is overloaded and the answer would miss
    /// its target; DeadlineUnreachable if the work ahead of it and the measured service
    /// time of its kind leave no time to answer before its deadline.
    Result<void> offer(AdmissionRequest ticket, TimePoint now);

    /// The next ticket, which takes a slot; nothing if no slot is free or nothing waits.
    std::optional<AdmissionRequest> startNext(TimePoint now);

    /// Frees the slot of @p id, if it is running. @p recordServiceTime: the time since its start is
    /// the service time of its kind, which it is not after a cancellation or a broken connection.
    void finish(std::uint64_t id, TimePoint now, bool recordServiceTime);

    /// Takes a queued ticket out; false if it isn't queued.
    bool cancel(std::uint64_t id);

    /// The tickets that expired or were displaced since the last call.
    std::vector<DroppedRequest> takeDroppedRequests(TimePoint now);

    std::size_t queued() const { return queued_.size(); }
    std::size_t running() const { return running_.size(); }
    int slots() const { return slots_; }

    /// Running requests above a lowered number end as they would; none is started meanwhile.
    void setSlots(int slots);

    /// @p ranks from most to least urgent, at least one.
    void setRanks(std::vector<RankShare> ranks);

    /// How long a new ticket of @p rank would wait for a slot.
    Duration estimatedWait(std::size_t rank, TimePoint now) const;

    /// The expected time in a slot of requests of @p kind; zero if nothing was measured yet.
    Duration expectedServiceTime(const std::string &kind) const
    {
        return serviceTimes_.expected(kind);
    }

    nlohmann::json dumpState() const;

private:
    struct Running
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
    using QueuedTickets = std::unordered_map<std::uint64_t, QueuedRequest>;

    AdmissionQueue() = default;
    SlotLoad slotLoad(TimePoint now) const;
    Duration predictedWait(const QueuedRequest &queued, TimePoint now) const;
    TimePoint expectedAnswer(const QueuedRequest &queued, TimePoint now) const;
    Duration targetOf(std::size_t rank) const;
    bool isHeldToTarget(std::size_t rank, TimePoint now) const;
    Result<void> makeTime(const QueuedRequest &queued, TimePoint now);
    bool displaceLessWorthy(const QueuedRequest &queued, Duration late, TimePoint now);
    bool makePlace(const QueuedRequest &queued, TimePoint now);
    void insert(QueuedRequest queued, TimePoint now);
    void drop(std::uint64_t id, ErrorKind kind, TimePoint now);
    void dropExpired(TimePoint now);
    void recordOverload(const QueuedRequest &queued, TimePoint now);
    static Expiry expiryOf(const QueuedRequest &queued);

    AdmissionPolicy policy_;
    int slots_ = 1;
    std::size_t maxQueued_ = 1;
    std::vector<RankShare> ranks_;            ///< At least one.
    std::vector<OverloadDetector> overloads_; ///< One for each rank, also of earlier rules.
    std::vector<WaitCorrection> corrections_; ///< As many as overloads_.
    ServiceTimes serviceTimes_;
    QueuedTickets queued_;      ///< At most maxQueued_; the policy holds the same tickets.
    std::set<Expiry> expiries_; ///< One for each queued ticket.
    std::unordered_map<std::uint64_t, Running> running_; ///< Grows only while below slots_.
    std::vector<DroppedRequest> dropped_;
    std::uint64_t nextSequence_ = 0;
    TimePoint latest_{}; ///< The latest time seen; for changes that bring no time of their own.
};

/// Builds one AdmissionQueue; what isn't set keeps its default.
class AdmissionQueue::Builder
{
public:
    Builder &setSlots(int slots);
    Builder &setRanks(std::vector<RankShare> ranks);
    Builder &setMaxQueued(std::size_t maxQueued);
    Builder &setPolicy(AdmissionPolicy policy);
    /// Gives the policy away: a builder builds once.
    AdmissionQueue build();

private:
    int slots_ = 1;
    std::vector<RankShare> ranks_{ RankShare{} };
    std::size_t maxQueued_ = 256; ///< Tickets, over all ranks.
    AdmissionPolicy policy_ = SharedRanksPolicy();
};

} // namespace qz
