// Drives an admission queue in manual time, for tests.
#pragma once

#include "qz_admission/qz_admission.h"
#include "qz_core/time/manualclock.h"

#include <deque>
#include <map>
#include <string>

namespace qz {

/// What a test states about one offer; the rest has usual values.
struct TestOffer
{
    std::size_t rank_ = 0;
    std::string workspace_ = "ws";
    std::string kind_ = "kind";
    double worth_ = 1.0;
    double weight_ = 1.0;
    Duration deadline_ = std::chrono::hours(1);
};

/// A queue with a clock and the requests that run from it, each for the same time.
class QueueDriver
{
public:
    explicit QueueDriver(AdmissionQueue queue)
        : queue_(std::move(queue))
    {
    }

    Result<void> offer(const TestOffer &offer)
    {
        AdmissionRequest ticket;
        ticket.id_ = ++lastId_;
        ticket.rank_ = offer.rank_;
        ticket.workspace_ = WorkspaceId(offer.workspace_);
        ticket.kind_ = offer.kind_;
        ticket.worth_ = offer.worth_;
        ticket.weight_ = offer.weight_;
        ticket.deadline_ = clock_.now() + offer.deadline_;
        return queue_.offer(std::move(ticket), clock_.now());
    }

    /// Lets one request run for @p service; returns its ticket, or one of id 0 if none waits.
    AdmissionRequest runOne(Duration service)
    {
        const auto ticket = queue_.startNext(clock_.now());
        clock_.advance(service);
        if (!ticket) {
            return {};
        }
        queue_.finish(ticket->id_, clock_.now(), true);
        return *ticket;
    }

    /// The id of the last offer.
    std::uint64_t lastId() const { return lastId_; }

    ManualClock clock_;
    AdmissionQueue queue_;

private:
    std::uint64_t lastId_ = 0;
};

} // namespace qz
