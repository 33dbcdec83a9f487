// Runs a fleet of separate daemons between stand-ins: the demonstration of tools/demo.
#include "testbed/latencies.h"
#include "testbed/measurements.h"
#include "testbed/proofs.h"
#include "testbed/testbed.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace std::chrono_literals;
using qz::testing::percentile;
using qz::testing::RankTally;
using qz::testing::Testbed;
using qz::testing::Violations;

constexpr const char *usage = R"(quetzaltestbed: a fleet of daemons between stand-ins

Usage:
  quetzaltestbed demo --daemon=PATH [--instances=N] [--seconds=S] [--rate=R]
                      [--deployment=NAME] [--seed=N] [--logs=DIR] [--check]
  quetzaltestbed measure --daemon=PATH [--seed=N] [--logs=DIR]
  quetzaltestbed prove --daemon=PATH --faulty-daemon=PATH [--promise=NAME] [--seeds=N]
                      [--instances=N] [--seed=N] [--logs=DIR] [--skip-faults]

Options:
  --daemon=PATH      the program quetzaldaled
  --instances=N      how many daemons [default: 8]
  --seconds=S        for how long load is offered [default: 10]
  --rate=R           requests a second, all callers together [default: 400]
  --deployment=NAME  nakhla or red-andina [default: nakhla]
  --seed=N           of all random choices [default: 1]
  --logs=DIR         where the daemons' logs go [default: build/demo-logs]
  --faulty-daemon=PATH  the test build, in which a rule can be broken
  --promise=NAME     one promise only; "none": the fault pairs only
  --skip-faults      do not break rules on purpose
  --seeds=N          how many fleets with two random faults each [default: 0]
  --check            end with 0 only if each request got its own whole answer
)";

void printTallies(const std::map<std::string, RankTally> &tallies)
{
    for (const auto &[rank, tally] : tallies) {
        std::cout << "  " << rank << ": sent " << tally.sent_ << ", answered " << tally.answered_
                  << ", in target " << tally.inTarget_ << ", not run " << tally.notRun_
                  << ", unknown " << tally.unknown_ << ", p50 " << percentile(tally.latencies_, 0.5)
                  << " ms, p99 " << percentile(tally.latencies_, 0.99) << " ms\n";
        for (const auto &[cause, count] : tally.causes_) {
            std::cout << "    " << cause << ": " << count << "\n";
        }
    }
}

bool isComplete(const std::map<std::string, RankTally> &tallies)
{
    return !tallies.empty() && std::all_of(tallies.begin(), tallies.end(), [](const auto &entry) {
        return entry.second.sent_ > 0 && entry.second.answered_ == entry.second.sent_;
    });
}

int runDemo(std::map<std::string, docopt::value> &options)
{
    Testbed::Plan plan;
    plan.daemon_ = options["--daemon"].asString();
    plan.instances_ = static_cast<int>(options["--instances"].asLong());
    plan.logDirectory_ = options["--logs"].asString();
    plan.seed_ = static_cast<std::uint64_t>(options["--seed"].asLong());
    plan.deployment_ = options["--deployment"].asString() == "red-andina"
            ? qz::testing::makeRedAndina()
            : qz::testing::makeNakhla();
    Testbed testbed(plan);
    std::cout << "starting " << plan.instances_ << " daemons for " << plan.deployment_.name_
              << "\n";
    if (!testbed.start(30s)) {
        std::cout << "the rules did not come into force; see " << plan.logDirectory_ << "\n";
        return 1;
    }
    std::cout << "rules in force on all instances; sending load\n";
    testbed.startCallers(std::stod(options["--rate"].asString()));
    const long seconds = options["--seconds"].asLong();
    for (long second = 1; second <= seconds; ++second) {
        testbed.loop().runFor(1s);
        int answered = 0;
        for (const auto &[rank, tally] : testbed.tallies()) {
            answered += tally.answered_;
        }
        std::cout << "  " << second << " of " << seconds << " s: " << answered << " answered"
                  << std::endl;
    }
    testbed.stopCallers();
    const bool isSettled = testbed.settle(20s);
    const Violations violations = testbed.findViolations();
    const auto tallies = testbed.tallies();
    printTallies(tallies);
    std::cout << "violations: " << violations.total() << " " << violations.example_ << "\n";
    const bool isGood = isSettled && violations.total() == 0 && isComplete(tallies);
    std::cout << (isGood ? "each request got its own whole answer\n"
                         : "not each request got its own whole answer\n");
    return isGood || !options["--check"].asBool() ? 0 : 1;
}

int runProve(std::map<std::string, docopt::value> &options)
{
    qz::testing::ProofContext context;
    context.daemon_ = options["--daemon"].asString();
    context.faultyDaemon_ = options["--faulty-daemon"].asString();
    context.logs_ = options["--logs"].asString();
    context.seed_ = static_cast<std::uint64_t>(options["--seed"].asLong());
    context.skipsFaults_ = options["--skip-faults"].asBool();
    const std::string promise =
            options["--promise"].isString() ? options["--promise"].asString() : "";
    const int seeds = static_cast<int>(options["--seeds"].asLong());
    const int instances = static_cast<int>(options["--instances"].asLong());
    return qz::testing::runProofs(context, promise, seeds, instances) ? 0 : 1;
}

int runMeasure(std::map<std::string, docopt::value> &options)
{
    qz::testing::MeasureContext context;
    context.daemon_ = options["--daemon"].asString();
    context.logs_ = options["--logs"].asString();
    context.seed_ = static_cast<std::uint64_t>(options["--seed"].asLong());
    qz::testing::runMeasurements(context);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    if (options["prove"].asBool()) {
        return runProve(options);
    }
    if (options["measure"].asBool()) {
        return runMeasure(options);
    }
    return runDemo(options);
}
