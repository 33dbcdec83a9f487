// The way of claim writes from an entry instance to the table: by a claim home, or directly.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_core/time/clock.h"
#include "qz_once/batching/rowwrite.h"
#include "qz_once/homes/claimhomes.h"
#include "qz_once/homes/claimmessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace qz {

/// Bounds of a ClaimRouter.
struct ClaimRouterLimits
{
    std::size_t homes_ = 2;
    Duration answerLimit_ = std::chrono::milliseconds(500); ///< A home that is slower is lost.
    Duration avoidFor_ = std::chrono::seconds(2);           ///< A home that was lost.
};

/// Sends each write to the claim home of its row, or makes it itself if it is that home or no
/// home can be reached.
///
/// A request that was sent and not answered ends as StoreTimeout: the home may have made the
/// write or may yet do so. The caller reads the row back, and its next try avoids that home.
/// @see ClaimHome, ClaimAttempt
class ClaimRouter
{
public:
    class Builder;

    /// Gives a request to the link to a home; false if the home certainly will not get it.
    using Send = std::function<bool(const InstanceId &home, const ClaimRequest &)>;

    ClaimRouter(const ClaimRouter &) = delete;
    ClaimRouter &operator=(const ClaimRouter &) = delete;

    void setMembers(const std::vector<InstanceId> &members) { homes_.setMembers(members); }

    void write(TableWrite write, RowWriteDone done);

    /// Takes an answer; one that nobody waits for any more is dropped.
    void onAnswer(const InstanceId &home, const ClaimAnswer &answer);

    /// Ends all that was asked of @p home.
    void onLinkLost(const InstanceId &home);

    std::size_t pendingCount() const { return pending_.size(); }

private:
    explicit ClaimRouter(const Builder &builder);

    struct Pending
    {
        InstanceId home_;
        RowWriteDone done_;
        Timers::HandlePtr timeout_;
    };

    bool sendTo(const InstanceId &home, const TableWrite &write, const RowWriteDone &done);
    bool isAvoided(const InstanceId &home) const;
    void onTimeout(std::uint64_t id);
    void avoid(const InstanceId &home);
    void finish(std::uint64_t id, const Result<RowWriteOutcome> &outcome);

    Timers &timers_;
    const Clock &clock_;
    const InstanceId self_;
    const Send send_;
    const RowWriter writeDirectly_;
    const ClaimRouterLimits limits_;
    ClaimHomes homes_;
    std::map<std::uint64_t, Pending> pending_; ///< Each ends once: answered, lost or too late.
    std::map<InstanceId, TimePoint> avoidedUntil_;
    std::uint64_t lastId_ = 0;
};

/// Collects what a ClaimRouter needs; all but the limits must be set. Timers and clock outlive
/// the router.
class ClaimRouter::Builder
{
public:
    Builder &setTimers(Timers &timers);
    Builder &setClock(const Clock &clock);
    Builder &setSelf(InstanceId self);
    Builder &setSend(Send send);
    /// The way of writes that this instance makes itself: that of its own ClaimBatcher.
    Builder &setDirectWriter(RowWriter write);
    Builder &setLimits(ClaimRouterLimits limits);

    std::unique_ptr<ClaimRouter> build() const;

private:
    friend class ClaimRouter;

    Timers *timers_ = nullptr;
    const Clock *clock_ = nullptr;
    InstanceId self_;
    Send send_;
    RowWriter writeDirectly_;
    ClaimRouterLimits limits_;
};

} // namespace qz
