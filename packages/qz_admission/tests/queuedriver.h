// Test helper that drives an admission queue with a manual clock.
#pragma once

#include "qz_admission/qz_admission.h"
#include "qz_core/time/manualclock.h"

#include <deque>
#include <map>
#include <string>

namespace qz {

/// The values of one offer that tests vary.
struct TestOffer
{
    std::size_t rank_ = 0;
    std::string workspace_ = "ws";
    std::string kind_ = "kind";
    double worth_ = 1.0;
    double weight_ = 1.0;
    Duration deadline_ = std::chrono::hours(1);
};

/// Offers requests to a queue and runs them one at a time on a manual clock.
class QueueDriver
{
public:
    explicit QueueDriver(AdmissionQueue queue)
        : queue_(std::move(queue))
    {
    }

    Result<void> offer(const TestOffer &offer)
    {
        AdmissionRequest request;
        request.id_ = ++lastId_;
        request.rank_ = offer.rank_;
        request.workspace_ = WorkspaceId(offer.workspace_);
        request.kind_ = offer.kind_;
        request.worth_ = offer.worth_;
        request.weight_ = offer.weight_;
        request.deadline_ = clock_.now() + offer.deadline_;
        return queue_.offer(std::move(request), clock_.now());
    }

    /// Starts the next request, advances the clock by @p serviceTime and finishes the request.
    /// Returns it, or a request with id 0 if none was queued.
    AdmissionRequest runOne(Duration serviceTime)
    {
        const auto request = queue_.startNext(clock_.now());
        clock_.advance(serviceTime);
        if (!request) {
            return {};
        }
        queue_.finish(request->id_, clock_.now(), true);
        return *request;
    }

    /// Returns the id of the last offer.
    std::uint64_t lastId() const { return lastId_; }

    ManualClock clock_;
    AdmissionQueue queue_;

private:
    std::uint64_t lastId_ = 0;
};

} // namespace qz
