// Runs seeds of the soak one after the other and prints a line for each.
#include "soak/soakrun.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace {

constexpr const char *usage =
        R"(quetzalsoak: instances as processes under load, with faults from outside them

Usage:
  quetzalsoak --daemon=PATH [--seed=N] [--seeds=N] [--seconds=S] [--instances=N] [--servers=N]
              [--fault-point=NAME] [--logs=DIR] [--verbose]

Options:
  --daemon=PATH       the program quetzaldaled, or a test build of it
  --seed=N            the first seed [default: 1]
  --seeds=N           how many seeds, one after the other [default: 1]
  --seconds=S         for how long faults begin [default: 10]
  --instances=N       processes [default: 6]
  --servers=N         backend servers [default: 8]
  --fault-point=NAME  the rule that a test build breaks
  --logs=DIR          where the instances' logs go [default: build/soak-logs]
  --verbose           print the faults of seeds that keep all promises too

Ends with 0 if all promises were kept under each seed, with 1 if not.
)";

constexpr int exitBroken = 1;
constexpr std::size_t shownViolations = 20; ///< Of a seed.

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    qz::testing::SoakPlan plan;
    plan.daemon_ = options["--daemon"].asString();
    plan.logs_ = options["--logs"].asString();
    plan.instances_ = static_cast<int>(options["--instances"].asLong());
    plan.servers_ = static_cast<int>(options["--servers"].asLong());
    plan.length_ = std::chrono::seconds(options["--seconds"].asLong());
    if (options["--fault-point"]) {
        plan.faultPoint_ = options["--fault-point"].asString();
    }
    std::filesystem::create_directories(plan.logs_);
    const long first = options["--seed"].asLong();
    int broken = 0;
    for (long seed = first; seed < first + options["--seeds"].asLong(); ++seed) {
        plan.seed_ = static_cast<std::uint64_t>(seed);
        const qz::testing::SoakResult result = qz::testing::SoakRun(plan).run();
        const qz::testing::SoakTally &tally = result.tally_;
        std::cout << "seed " << seed << ": " << result.faults_.size() << " faults, sent "
                  << tally.sent_ << ", answered " << tally.answered_ << ", not run "
                  << tally.notRun_ << ", unknown " << tally.unknown_ << ", cut " << tally.cut_
                  << ", violations " << result.violations_.size() << std::endl;
        if (!result.violations_.empty() || options["--verbose"].asBool()) {
            for (const std::string &fault : result.faults_) {
                std::cout << "  " << fault << "\n";
            }
        }
        for (std::size_t i = 0; i < std::min(result.violations_.size(), shownViolations); ++i) {
            std::cout << "  ! " << result.violations_[i] << std::endl;
        }
        broken += result.violations_.empty() ? 0 : 1;
    }
    std::cout << broken << " seeds with a broken promise" << std::endl;
    return broken == 0 ? 0 : exitBroken;
}
