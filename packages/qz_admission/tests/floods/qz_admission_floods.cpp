// Measures the admission policies in simulated floods of the least and of the most urgent rank, for
// both deployments and with the same arrivals for every policy.
#include "floodsimulation.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>

namespace {

using namespace qz;
using namespace qz::floods;

constexpr char usage[] = R"(Measure the admission policies under floods.

Usage:
  qz_admission_floods [--seeds=<n>] [--seconds=<n>] [--policy=<name>] [--json] [--strict]
  qz_admission_floods --help

Options:
  --seeds=<n>      Simulate each case with the seeds 1 to n [default: 1].
  --seconds=<n>    Measured time of each simulation in seconds [default: 5].
  --policy=<name>  Simulate only this policy: fifo, strict-priority or shared-ranks.
  --json           Print one JSON line per figure instead of the table.
  --strict         Exit with 1 if shared-ranks misses a goal. While the most urgent rank floods,
                   the bound of worth that ignores the shares is not a goal.
)";

constexpr double minUrgentInTarget = 99.0; // Percent.
constexpr double maxShareShortfall = 5.0;  // Percentage points.
constexpr double minWorth = 95.0;          // Percent of the upper bound.

struct Distribution
{
    std::vector<double> values_;

    void add(double value)
    {
        values_.push_back(value);
        std::sort(values_.begin(), values_.end());
    }
    double min() const { return values_.front(); }
    double median() const { return values_[values_.size() / 2]; }
    double max() const { return values_.back(); }
};

/// The results of one policy in one flood over all seeds, in percent and percentage points.
struct Summary
{
    Distribution urgentInTarget_;
    std::array<Distribution, rankCount> used_;      ///< Of all slot time.
    std::array<Distribution, rankCount> shortfall_; ///< Below min(guaranteed share, offered load).
    std::array<Distribution, rankCount> withinTarget_;
    Distribution worth_;
    Distribution worthWithShares_;
    Distribution crossRegion_;
    Distribution lateAnswers_;

    void add(const SimulationResults &run);
};

double percent(double part, double whole)
{
    return whole > 0.0 ? 100.0 * part / whole : 100.0;
}

double percent(Duration part, Duration whole)
{
    return percent(static_cast<double>(part.count()), static_cast<double>(whole.count()));
}

void Summary::add(const SimulationResults &run)
{
    const std::vector<RankShare> shares = makeRanks();
    std::size_t offered = 0;
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        const RankResults &figures = run.ranks_.at(rank);
        const double used = percent(figures.usedSlotTime_, run.slotTime_);
        const double guaranteed = std::min(100.0 * shares[rank].share_,
                                           percent(figures.offeredSlotTime_, run.slotTime_));
        used_.at(rank).add(used);
        shortfall_.at(rank).add(std::max(0.0, guaranteed - used));
        withinTarget_.at(rank).add(percent(static_cast<double>(figures.withinTarget_),
                                           static_cast<double>(figures.offered_)));
        offered += figures.offered_;
    }
    worth_.add(percent(run.worth_, run.worthUpperBound_));
    worthWithShares_.add(percent(run.worth_, run.worthUpperBoundWithShares_));
    crossRegion_.add(percent(static_cast<double>(run.crossRegion_), static_cast<double>(offered)));
    lateAnswers_.add(percent(static_cast<double>(run.lateAnswers_), static_cast<double>(offered)));
}

struct Goals
{
    bool areMet_ = true;
    bool isJson_ = false;

    void print(const std::string &caseName, const char *name, const Distribution &distribution,
               const char *goal, bool isMet)
    {
        areMet_ = areMet_ && isMet;
        const char *verdict = goal[0] == '\0' ? "" : isMet ? "met" : "short";
        if (isJson_) {
            std::printf("{\"case\":\"%s\",\"figure\":\"%s\",\"min\":%.2f,\"median\":%.2f,"
                        "\"max\":%.2f,\"goal\":\"%s\",\"verdict\":\"%s\"}\n",
                        caseName.c_str(), name, distribution.min(), distribution.median(),
                        distribution.max(), goal, verdict);
        } else {
            std::printf("%-40s %-26s %7.2f %7.2f %7.2f  %-8s %s\n", caseName.c_str(), name,
                        distribution.min(), distribution.median(), distribution.max(), goal,
                        verdict);
        }
    }
};

void report(const std::string &caseName, const FloodCase &flood, const Summary &summary,
            Goals &goals)
{
    const bool isLeastUrgentFlood = flood.floodingRank_ != 0;
    goals.print(caseName, "urgent in target %", summary.withinTarget_[0],
                isLeastUrgentFlood ? ">= 99" : "",
                !isLeastUrgentFlood || summary.withinTarget_[0].min() >= minUrgentInTarget);
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        const std::string name = "rank " + std::to_string(rank);
        goals.print(caseName, (name + " slot time %").c_str(), summary.used_.at(rank), "", true);
        if (rank != flood.floodingRank_) {
            goals.print(caseName, (name + " below share, points").c_str(),
                        summary.shortfall_.at(rank), "<= 5",
                        summary.shortfall_.at(rank).max() <= maxShareShortfall);
        }
        if (rank != 0) {
            goals.print(caseName, (name + " in target %").c_str(), summary.withinTarget_.at(rank),
                        "", true);
        }
    }
    // While the most urgent rank floods, no policy can reach this bound and guarantee the shares.
    const bool wereMetBefore = goals.areMet_;
    goals.print(caseName, "worth, % of bound", summary.worth_, ">= 95",
                summary.worth_.min() >= minWorth);
    goals.areMet_ = isLeastUrgentFlood ? goals.areMet_ : wereMetBefore;
    goals.print(caseName, "worth, % of bound w. shares", summary.worthWithShares_, ">= 95",
                summary.worthWithShares_.min() >= minWorth);
    goals.print(caseName, "cross-region %", summary.crossRegion_, "", true);
    goals.print(caseName, "started and late %", summary.lateAnswers_, "", true);
}

const std::vector<FloodSimulation::MakePolicy> policies{
    [] { return FifoPolicy(); },
    [] { return StrictPriorityPolicy(); },
    [] { return SharedRanksPolicy(); },
};

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto seeds = static_cast<std::uint64_t>(arguments["--seeds"].asLong());
    const std::chrono::seconds measuredTime(arguments["--seconds"].asLong());
    const docopt::value onlyPolicy = arguments["--policy"];
    Goals baselineGoals;
    Goals sharedRanksGoals;
    baselineGoals.isJson_ = sharedRanksGoals.isJson_ = arguments["--json"].asBool();
    for (const Deployment &deployment : makeDeployments()) {
        for (const FloodCase &flood : makeFloodCases()) {
            for (const auto &makePolicy : policies) {
                const std::string policy(nameOf(makePolicy()));
                if (onlyPolicy && onlyPolicy.asString() != policy) {
                    continue;
                }
                Summary summary;
                SimulationSettings settings{ deployment, flood };
                settings.measuredTime_ = measuredTime;
                for (settings.seed_ = 1; settings.seed_ <= seeds; ++settings.seed_) {
                    summary.add(FloodSimulation(settings, makePolicy).run());
                }
                const bool isSharedRanks = &makePolicy == &policies.back();
                report(deployment.name_ + ", " + flood.name_ + ", " + policy, flood, summary,
                       isSharedRanks ? sharedRanksGoals : baselineGoals);
            }
        }
    }
    const bool isStrict = arguments["--strict"].asBool();
    return isStrict && !sharedRanksGoals.areMet_ ? 1 : 0;
}
