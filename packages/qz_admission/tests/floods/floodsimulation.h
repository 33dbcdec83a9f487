// One run of the flood measurement: arrivals at entries, eight queues, one policy.
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
    std::size_t inTarget_ = 0;
    Duration offeredSlotTime_{};
    Duration usedSlotTime_{};
};

struct SimulationResults
{
    std::array<RankResults, rankCount> ranks_;
    Duration slotTime_{}; ///< Of all slots in the measured time.
    double worth_ = 0.0;  ///< Of all that the servers completed in the measured time.
    double bound_ = 0.0;
    double boundWithShares_ = 0.0;
    std::size_t crossRegion_ = 0; ///< Requests sent to the other region.
    std::size_t lateAnswers_ = 0; ///< Requests that took a slot and were not answered in time.
};

struct SimulationSettings
{
    Deployment deployment_;
    FloodCase flood_;
    std::uint64_t seed_ = 1;
    Duration warmUp_ = std::chrono::seconds(5); ///< Under the usual load, not measured.
    Duration measured_ = std::chrono::seconds(30);
};

/// Runs eight gates of one policy and the entries before them in simulated time. The same
/// settings give the same arrivals and service times to every policy.
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
        Duration service_{};
        bool isMeasured_ = false;
        std::vector<std::size_t> tried_;
    };
    struct Event
    {
        TimePoint at_;
        std::uint64_t order_ = 0;
        std::function<void()> work_;
        friend bool operator<(const Event &a, const Event &b)
        {
            return a.at_ != b.at_ ? a.at_ > b.at_ : a.order_ > b.order_;
        }
    };
    struct Entry
    {
        std::vector<ServerCandidate> candidates_; ///< By gate.
        std::vector<TimePoint> digestsAt_;        ///< When each digest was true.
        RetryBudget retries_;
    };

    void schedule(TimePoint at, std::function<void()> work);
    void scheduleArrival(std::size_t kind, bool isFlood);
    void arrive(std::size_t kind, bool isFlood);
    void send(std::size_t id);
    void offer(std::size_t id, std::size_t gate);
    void pump(std::size_t gate);
    void finish(std::size_t id, std::size_t gate, TimePoint startedAt, bool isWhole);
    void reply(std::size_t id, std::size_t gate, std::optional<ErrorKind> error);
    void gossip();
    void measureService(const Request &request, TimePoint startedAt, bool isWhole);
    QueueDigest digestOf(std::size_t gate) const;
    Duration distance(std::size_t entry, std::size_t gate) const;
    bool isInMeasuredTime(TimePoint time) const { return time >= start_ && time < end_; }

    SimulationSettings settings_;
    std::vector<RankShare> ranks_ = makeRanks();
    std::vector<WorkKind> kinds_ = makeKinds();
    TimePoint now_{ std::chrono::hours(1) };
    TimePoint start_;
    TimePoint end_;
    std::mt19937_64 arrivals_; ///< Used in the same order whatever the policy does.
    std::mt19937_64 choices_;
    ServerChooser chooser_;
    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
    std::vector<AdmissionQueue> gates_;
    std::vector<Entry> entries_;
    std::vector<Request> requests_;
    std::vector<OfferedWork> offered_; ///< By kind.
    SimulationResults figures_;
};

} // namespace qz::floods
