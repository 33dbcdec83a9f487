// The queue of one rank: fair between workspaces, earliest deadline first within one.
#pragma once

#include "qz_admission/queue/admissionrequest.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace qz {

/// Start-time fair queueing over workspaces by weight. Each workspace is one flow. A flow exists
/// while its workspace has queued requests or its start tag is ahead of virtual time, that is,
/// until the other flows have received as much service.
/// @see SharedRanksPolicy
class WorkspaceFairQueue
{
public:
    WorkspaceFairQueue() = default;
    WorkspaceFairQueue(const WorkspaceFairQueue &) = delete;
    WorkspaceFairQueue &operator=(const WorkspaceFairQueue &) = delete;
    WorkspaceFairQueue(WorkspaceFairQueue &&) = default;
    WorkspaceFairQueue &operator=(WorkspaceFairQueue &&) = default;
    ~WorkspaceFairQueue() = default;

    void insert(const QueuedRequest &queued);

    /// Removes a request that leaves the queue without a slot.
    void erase(const QueuedRequest &queued);

    /// Removes a request that gets a slot and charges its workspace the expected service time.
    void start(const QueuedRequest &queued);

    /// Replaces the charge for a started request by the slot time that it @p used.
    void finish(const QueuedRequest &queued, Duration used);

    /// Returns the id of the request to start next. The queue must not be empty.
    std::uint64_t frontId() const;

    /// Returns the expected service time of the request to start next. The queue must not be empty.
    Duration frontExpected() const;

    /// Returns the id of the last request of the longest flow, the one with the most queued
    /// requests per weight. The queue must not be empty.
    std::uint64_t lastIdOfLongestFlow() const;

    /// Returns whether the flow of @p queued, including @p queued, is shorter than the longest one.
    bool isShorterThanLongestFlow(const QueuedRequest &queued) const;

    /// Returns the id of a request that has less worth per slot time than @p queued and belongs to
    /// the same workspace or to a flow at least as long as that of @p queued would be with it. Of
    /// several, it is the one with the least worth per slot time and, among equals, the newest.
    /// Looks only at the few requests of the least worth.
    std::optional<std::uint64_t> findLowerWorth(const QueuedRequest &queued) const;

    /// Returns the slot time of this queue that would be served before @p queued.
    Duration workAhead(const QueuedRequest &queued) const;

    /// Like workAhead(), for a request of a workspace of weight 1 that has no queued requests.
    Duration workAheadOfNewWorkspace(Duration expected) const;

    Duration work() const { return work_; }
    std::size_t size() const { return size_; }
    bool isEmpty() const { return size_ == 0; }
    std::size_t workspaceCount() const { return flows_.size(); }

private:
    struct DeadlineKey
    {
        TimePoint deadline_;
        std::uint64_t sequence_ = 0;
        friend bool operator<(const DeadlineKey &a, const DeadlineKey &b)
        {
            return a.deadline_ != b.deadline_ ? a.deadline_ < b.deadline_
                                              : a.sequence_ < b.sequence_;
        }
    };
    struct FlowEntry
    {
        std::uint64_t id_ = 0;
        Duration expected_{};
    };
    struct FlowKey
    {
        double value_ = 0.0;
        std::uint64_t order_ = 0; ///< Breaks ties by the creation order of the flows.
        friend bool operator<(const FlowKey &a, const FlowKey &b)
        {
            return a.value_ != b.value_ ? a.value_ < b.value_ : a.order_ < b.order_;
        }
    };
    struct Flow
    {
        std::map<DeadlineKey, FlowEntry> requests_;
        Duration work_{}; ///< Sum of the expected service times of requests_.
        double weight_ = 1.0;
        double startTag_ = 0.0; ///< Virtual time at which its next request may start.
        std::uint64_t order_ = 0;
    };

    struct WorthKey
    {
        double worthPerSecond_ = 0.0; ///< Per second of slot time.
        std::uint64_t sequence_ = 0;
        friend bool operator<(const WorthKey &a, const WorthKey &b)
        {
            return a.worthPerSecond_ != b.worthPerSecond_ ? a.worthPerSecond_ < b.worthPerSecond_
                                                          : a.sequence_ > b.sequence_;
        }
    };
    struct WorthEntry
    {
        std::uint64_t id_ = 0;
        const Flow *flow_ = nullptr;
    };

    static WorthKey worthKeyOf(const QueuedRequest &queued);
    double weightedLengthWith(const QueuedRequest &queued) const;
    static DeadlineKey deadlineKeyOf(const QueuedRequest &queued);
    static double virtualTime(Duration time, double weight);
    static double weightedLength(const Flow &flow);
    void remove(Flow &flow, const QueuedRequest &queued);
    void addToIndexes(Flow &flow);
    void removeFromIndexes(const Flow &flow);
    void setStartTag(Flow &flow, double tag);
    void removeIdleFlows();
    Duration workOfOthersAhead(Duration own, double weight, Duration ownWork,
                               double ownActiveWeight) const;

    std::unordered_map<WorkspaceId, Flow> flows_;
    std::map<FlowKey, Flow *> active_;       ///< The flows with queued requests, by start tag.
    std::map<FlowKey, WorkspaceId> idle_;    ///< The other flows; their tags exceed virtualTime_.
    std::map<WorthKey, WorthEntry> byWorth_; ///< All queued requests, least worth first.
    std::map<FlowKey, Flow *> byLength_;     ///< The flows of active_, by requests per weight.
    double virtualTime_ = 0.0;  ///< Start tag of the last start, or later; never decreases.
    double activeWeight_ = 0.0; ///< Sum of the weights in active_.
    std::uint64_t nextOrder_ = 0;
    Duration work_{};      ///< Sum of the work of all flows.
    std::size_t size_ = 0; ///< Number of queued requests in all flows.
};

} // namespace qz
