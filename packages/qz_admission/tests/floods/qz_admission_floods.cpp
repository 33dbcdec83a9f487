// Measures the admission policies under floods: both users' slots, three ranks, floods of the
// least and of the most urgent rank, and the policies side by side on the same arrivals.
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
  --seeds=<n>      Runs with the seeds 1 to n [default: 1].
  --seconds=<n>    Measured time of each run in seconds [default: 5].
  --policy=<name>  Only fifo, strict-priority or shared-ranks.
  --json           One JSON line for each figure instead of the table.
  --strict         Exit with 1 if the chosen policy is short of a goal, except for the worth
                   against the bound that ignores the shares while the urgent rank floods.
)";

constexpr double urgentGoal = 99.0;    // Percent in target.
constexpr double shareTolerance = 5.0; // Points.
constexpr double worthGoal = 95.0;     // Percent of the bound.

struct Spread
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

/// The figures of one policy in one flood over all seeds; percent and points.
struct Summary
{
    Spread urgentInTarget_;
    std::array<Spread, rankCount> got_;       ///< Slot time used.
    std::array<Spread, rankCount> shortfall_; ///< Below the smaller of stated share and offer.
    std::array<Spread, rankCount> inTarget_;
    Spread worth_;
    Spread worthWithShares_;
    Spread crossRegion_;
    Spread late_;

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
        const double got = percent(figures.usedSlotTime_, run.slotTime_);
        const double wanted = std::min(100.0 * shares[rank].share_,
                                       percent(figures.offeredSlotTime_, run.slotTime_));
        got_.at(rank).add(got);
        shortfall_.at(rank).add(std::max(0.0, wanted - got));
        inTarget_.at(rank).add(percent(static_cast<double>(figures.inTarget_),
                                       static_cast<double>(figures.offered_)));
        offered += figures.offered_;
    }
    worth_.add(percent(run.worth_, run.bound_));
    worthWithShares_.add(percent(run.worth_, run.boundWithShares_));
    crossRegion_.add(percent(static_cast<double>(run.crossRegion_), static_cast<double>(offered)));
    late_.add(percent(static_cast<double>(run.lateAnswers_), static_cast<double>(offered)));
}

struct Goals
{
    bool areMet_ = true;
    bool isJson_ = false;

    void print(const std::string &place, const char *name, const Spread &spread, const char *goal,
               bool isMet)
    {
        areMet_ = areMet_ && isMet;
        const char *verdict = goal[0] == '\0' ? "" : isMet ? "met" : "short";
        if (isJson_) {
            std::printf("{\"case\":\"%s\",\"figure\":\"%s\",\"min\":%.2f,\"median\":%.2f,"
                        "\"max\":%.2f,\"goal\":\"%s\",\"verdict\":\"%s\"}\n",
                        place.c_str(), name, spread.min(), spread.median(), spread.max(), goal,
                        verdict);
        } else {
            std::printf("%-40s %-26s %7.2f %7.2f %7.2f  %-8s %s\n", place.c_str(), name,
                        spread.min(), spread.median(), spread.max(), goal, verdict);
        }
    }
};

void report(const std::string &place, const FloodCase &flood, const Summary &summary, Goals &goals)
{
    const bool isLeastFlood = flood.floodingRank_ != 0;
    goals.print(place, "urgent in target %", summary.inTarget_[0], isLeastFlood ? ">= 99" : "",
                !isLeastFlood || summary.inTarget_[0].min() >= urgentGoal);
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        const std::string name = "rank " + std::to_string(rank);
        goals.print(place, (name + " slot time %").c_str(), summary.got_.at(rank), "", true);
        if (rank != flood.floodingRank_) {
            goals.print(place, (name + " below share, points").c_str(), summary.shortfall_.at(rank),
                        "<= 5", summary.shortfall_.at(rank).max() <= shareTolerance);
        }
        if (rank != 0) {
            goals.print(place, (name + " in target %").c_str(), summary.inTarget_.at(rank), "",
                        true);
        }
    }
    // While the urgent rank floods this bound and the kept shares exclude each other.
    const bool wereMet = goals.areMet_;
    goals.print(place, "worth, % of bound", summary.worth_, ">= 95",
                summary.worth_.min() >= worthGoal);
    goals.areMet_ = isLeastFlood ? goals.areMet_ : wereMet;
    goals.print(place, "worth, % of bound w. shares", summary.worthWithShares_, ">= 95",
                summary.worthWithShares_.min() >= worthGoal);
    goals.print(place, "cross-region %", summary.crossRegion_, "", true);
    goals.print(place, "started and late %", summary.late_, "", true);
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
    const std::chrono::seconds measured(arguments["--seconds"].asLong());
    const docopt::value onlyPolicy = arguments["--policy"];
    Goals baselines;
    Goals chosen;
    baselines.isJson_ = chosen.isJson_ = arguments["--json"].asBool();
    for (const Deployment &deployment : makeDeployments()) {
        for (const FloodCase &flood : makeFloodCases()) {
            for (const auto &makePolicy : policies) {
                const std::string policy(nameOf(makePolicy()));
                if (onlyPolicy && onlyPolicy.asString() != policy) {
                    continue;
                }
                Summary summary;
                SimulationSettings settings{ deployment, flood };
                settings.measured_ = measured;
                for (settings.seed_ = 1; settings.seed_ <= seeds; ++settings.seed_) {
                    summary.add(FloodSimulation(settings, makePolicy).run());
                }
                const bool isChosen = &makePolicy == &policies.back();
                report(deployment.name_ + ", " + flood.name_ + ", " + policy, flood, summary,
                       isChosen ? chosen : baselines);
            }
        }
    }
    const bool isStrict = arguments["--strict"].asBool();
    return isStrict && !chosen.areMet_ ? 1 : 0;
}
