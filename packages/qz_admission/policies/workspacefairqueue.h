// The queue of one rank: fair between workspaces, earliest deadline first within one.
#pragma once

#include "qz_admission/queue/admissionrequest.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace qz {

/// Start-time fair queueing over workspaces by weight. A workspace has state only while it
/// has queued work, or until the others have caught up with the service that it had.
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

    /// Takes out a ticket that leaves without a slot.
    void erase(const QueuedRequest &queued);

    /// Takes out a ticket that gets a slot, and charges its workspace the expected time.
    void start(const QueuedRequest &queued);

    /// Corrects the charge of a started ticket to the slot time that it @p used.
    void finish(const QueuedRequest &queued, Duration used);

    /// The ticket to start next. The queue must not be empty.
    std::uint64_t frontId() const;
    Duration frontExpected() const;

    /// The last ticket of the workspace with the most queued work by weight.
    std::uint64_t lastIdOfLongestFlow() const;

    /// Whether a ticket of this workspace and weight would still hold less than the longest one.
    bool isShorterThanLongestFlow(const QueuedRequest &queued) const;

    /// A ticket that earns less worth per slot time than @p queued, of a workspace that holds at
    /// least as much by weight as that of @p queued would; the least worthy and latest one.
    std::optional<std::uint64_t> findLowerWorth(const QueuedRequest &queued) const;

    /// The slot time of this queue that would be served before @p queued.
    Duration workAhead(const QueuedRequest &queued) const;

    /// The same for a ticket of a workspace of weight 1 that has no queued work.
    Duration workAheadOfNewWorkspace(Duration expected) const;

    Duration work() const { return work_; }
    std::size_t size() const { return size_; }
    bool isEmpty() const { return size_ == 0; }
    std::size_t workspaceCount() const { return flows_.size(); }

private:
    struct Position
    {
        TimePoint deadline_;
        std::uint64_t sequence_ = 0;
        friend bool operator<(const Position &a, const Position &b)
        {
            return a.deadline_ != b.deadline_ ? a.deadline_ < b.deadline_
                                              : a.sequence_ < b.sequence_;
        }
    };
    struct Waiting
    {
        std::uint64_t id_ = 0;
        Duration expected_{};
    };
    struct Tag
    {
        double value_ = 0.0;
        std::uint64_t order_ = 0; ///< Breaks ties by the order in which workspaces came.
        friend bool operator<(const Tag &a, const Tag &b)
        {
            return a.value_ != b.value_ ? a.value_ < b.value_ : a.order_ < b.order_;
        }
    };
    struct Flow
    {
        std::map<Position, Waiting> waiting_;
        Duration work_{}; ///< Sum of the expected times of waiting_.
        double weight_ = 1.0;
        double tag_ = 0.0; ///< Virtual time at which its next ticket may start.
        std::uint64_t order_ = 0;
    };

    struct Rating
    {
        double density_ = 0.0; ///< Worth per second of slot time.
        std::uint64_t sequence_ = 0;
        friend bool operator<(const Rating &a, const Rating &b)
        {
            return a.density_ != b.density_ ? a.density_ < b.density_ : a.sequence_ > b.sequence_;
        }
    };
    struct Rated
    {
        std::uint64_t id_ = 0;
        const Flow *flow_ = nullptr;
    };

    static Rating ratingOf(const QueuedRequest &queued);
    double lengthWith(const QueuedRequest &queued) const;
    static Position positionOf(const QueuedRequest &queued);
    static double virtualTime(Duration time, double weight);
    static double lengthOf(const Flow &flow);
    void takeOut(Flow &flow, const QueuedRequest &queued);
    void link(Flow &flow);
    void unlink(const Flow &flow);
    void moveTag(Flow &flow, double tag);
    void forgetIdle();
    Duration otherWorkAhead(Duration own, double weight, Duration ownWork,
                            double ownActiveWeight) const;

    std::unordered_map<WorkspaceId, Flow> flows_;
    std::map<Tag, Flow *> active_;    ///< Exactly the flows with waiting tickets, by tag.
    std::map<Tag, WorkspaceId> idle_; ///< Exactly the other flows; each tag is above virtual time.
    std::map<Rating, Rated> ratings_; ///< All waiting tickets, least worthy first.
    std::map<Tag, Flow *> lengths_;   ///< The flows of active_, by work over weight.
    double virtualTime_ = 0.0;        ///< Never falls; the start tag of the last started ticket.
    double activeWeight_ = 0.0;       ///< Sum of the weights of active_.
    std::uint64_t nextOrder_ = 0;
    Duration work_{};      ///< Sum of the work of all flows.
    std::size_t size_ = 0; ///< Number of waiting tickets in all flows.
};

} // namespace qz
