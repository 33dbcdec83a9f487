// Simulates a flood: requests arrive at entries, which send them to eight gates with one policy.
#pragma once

#include "workload.h"
#include "worthbound.h"

#include "qz_admission/qz_admission.h"
#include "qz_entries/qz_entries.h"

#include <array>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace qz::floods {

struct RankResults
{
    std::size_t offered_ = 0;
    std::size_t withinTarget_ = 0;
    Duration offeredSlotTime_{};
    Duration usedSlotTime_{};
};

struct SimulationResults
{
    std::array<RankResults, rankCount> ranks_;
    Duration slotTime_{}; ///< Of all slots during the measured time.
    double worth_ = 0.0;  ///< Of all requests completed in the measured time.
    double worthUpperBound_ = 0.0;
    double worthUpperBoundWithShares_ = 0.0;
    std::size_t crossRegion_ = 0; ///< Requests sent to the other region.
    std::size_t lateAnswers_ = 0; ///< Started requests that missed their deadline.
};

struct SimulationSettings
{
    Deployment deployment_;
    FloodCase flood_;
    std::uint64_t seed_ = 1;
    Duration warmUp_ = std::chrono::seconds(5); ///< Under the baseline load; not measured.
    Duration measuredTime_ = std::chrono::seconds(30);
};

/// Simulates eight gates that use one policy, and the entries that send requests to them. The same
/// settings result in the same arrivals and service times for every policy.
class FloodSimulation
{
public:
    using MakePolicy = std::function<AdmissionPolicy()>;

    FloodSimulation(SimulationSettings settings, const MakePolicy &makePolicy);

    SimulationResults run();

private:
    struct Request
    {
        std::size_t kind_ = 0;
        std::size_t entry_ = 0;
        std::uint64_t workspace_ = 0;
        TimePoint arrivedAt_;
        Duration serviceTime_{};
        bool isMeasured_ = false;
        std::vector<std::size_t> tried_;
    };
    struct Event
    {
        TimePoint at_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;
        friend bool operator<(const Event &a, const Event &b)
        {
            return a.at_ != b.at_ ? a.at_ > b.at_ : a.sequence_ > b.sequence_;
        }
    };
    struct Entry
    {
        std::vector<ServerCandidate> candidates_; ///< By gate.
        std::vector<TimePoint> digestTimes_;      ///< When each digest was sent; by gate.
        RetryBudget retryBudget_;
    };

    void schedule(TimePoint at, std::function<void()> action);
    void scheduleArrival(std::size_t kind, bool isFlood);
    void arrive(std::size_t kind, bool isFlood);
    void send(std::size_t id);
    void offer(std::size_t id, std::size_t gate);
    void startRequests(std::size_t gate);
    void finish(std::size_t id, std::size_t gate, TimePoint startedAt, bool isComplete);
    void reply(std::size_t id, std::size_t gate, std::optional<ErrorKind> error);
    void distributeDigests();
    void recordSlotTime(const Request &request, TimePoint startedAt, bool isComplete);
    QueueDigest digestOf(std::size_t gate) const;
    Duration networkDelay(std::size_t entry, std::size_t gate) const;
    bool isInMeasuredTime(TimePoint time) const
    {
        return time >= measureStart_ && time < measureEnd_;
    }

    SimulationSettings settings_;
    std::vector<RankShare> ranks_ = makeRanks();
    std::vector<WorkKind> kinds_ = makeKinds();
    TimePoint now_{ std::chrono::hours(1) };
    TimePoint measureStart_;
    TimePoint measureEnd_;
    std::mt19937_64 arrivalRandom_; ///< Its sequence does not depend on the policy.
    std::mt19937_64 chooserRandom_;
    ServerChooser chooser_;
    std::priority_queue<Event> events_;
    std::uint64_t nextSequence_ = 0;
    std::vector<AdmissionQueue> gates_;
    std::vector<Entry> entries_;
    std::vector<Request> requests_;
    std::vector<OfferedWork> offered_; ///< By kind.
    SimulationResults results_;
};

} // namespace qz::floods
