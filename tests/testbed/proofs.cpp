// Runs the proofs and prints what they found.
#include "testbed/proofs.h"

#include "testbed/promisecases.h"
#include "testbed/testbed.h"

#include <csignal>
#include <functional>
#include <iostream>

namespace qz::testing {

namespace {

using namespace std::chrono_literals;

/// A fault that is put in, lasts a while and is taken away.
struct TimedFault
{
    std::string name_;
    std::function<void(Testbed &, std::size_t)> begin_;
    std::function<void(Testbed &, std::size_t)> end_;
};

TimedFault makePlatformFault(const std::string &name, PlatformStandIn::Fault fault)
{
    return { name, [fault](Testbed &testbed, std::size_t) { testbed.platform().setFault(fault); },
             [](Testbed &testbed, std::size_t) {
                 testbed.platform().setFault(PlatformStandIn::Fault::None);
             } };
}

TimedFault makeSignalFault(const std::string &name, int begin, int end)
{
    const auto sender = [](int number) {
        return [number](Testbed &testbed, std::size_t index) {
            if (number != 0) {
                testbed.instances()[index].process_->send(number);
            }
        };
    };
    return { name, sender(begin), sender(end) };
}

TimedFault makeBackendFault(const std::string &name, const BackendBehavior &behavior)
{
    const auto set = [](const BackendBehavior &chosen) {
        return [chosen](Testbed &testbed, std::size_t index) {
            testbed.backends()[index % testbed.backends().size()]->setBehavior(chosen);
        };
    };
    return { name, set(behavior), set(BackendBehavior{}) };
}

std::vector<TimedFault> makeFaults()
{
    BackendBehavior silent;
    silent.isSilent_ = true;
    BackendBehavior cutting;
    cutting.cutsAnswers_ = true;
    BackendBehavior slow;
    slow.slowFactor_ = 10;
    return { makeSignalFault("kill", SIGKILL, 0),
             makeSignalFault("freeze", SIGSTOP, SIGCONT),
             makeSignalFault("stop", SIGTERM, 0),
             makePlatformFault("table-down", PlatformStandIn::Fault::Down),
             makePlatformFault("table-silent", PlatformStandIn::Fault::Silent),
             makePlatformFault("table-loses-answers", PlatformStandIn::Fault::LoseAnswers),
             makeBackendFault("backend-silent", silent),
             makeBackendFault("backend-cuts", cutting),
             makeBackendFault("backend-slow", slow) };
}

Violations runFaultPair(const ProofContext &context, std::uint64_t seed, int instances)
{
    std::mt19937_64 random(seed);
    Testbed::Plan plan;
    plan.daemon_ = context.daemon_;
    plan.logDirectory_ = context.logs_ + "/pair-" + std::to_string(seed);
    plan.instances_ = instances;
    plan.seed_ = seed;
    plan.duplicateShare_ = 0.3;
    plan.deployment_ = seed % 2 == 0 ? makeNakhla() : makeRedAndina();
    plan.daemonFlags_ = { "--address-keep-ms=1000", "--gate-drain-grace-ms=700",
                          "--drain-grace-ms=2000" };
    Testbed testbed(plan);
    Violations violations;
    if (!testbed.start(30s)) {
        violations.wrongAnswers_ = 1;
        violations.example_ = "the fleet did not start";
        return violations;
    }
    const auto faults = makeFaults();
    std::uniform_int_distribution<std::size_t> drawFault(0, faults.size() - 1);
    std::uniform_int_distribution<std::size_t> drawIndex(0, testbed.instances().size() - 1);
    const TimedFault &first = faults[drawFault(random)];
    const TimedFault &second = faults[drawFault(random)];
    const std::size_t firstIndex = drawIndex(random);
    const std::size_t secondIndex = drawIndex(random);
    std::cout << "  seed " << seed << ": " << first.name_ << " " << firstIndex << ", "
              << second.name_ << " " << secondIndex << std::flush;
    testbed.startCallers(250);
    testbed.loop().runFor(1s);
    first.begin_(testbed, firstIndex);
    testbed.loop().runFor(1s);
    second.begin_(testbed, secondIndex);
    testbed.loop().runFor(1500ms);
    first.end_(testbed, firstIndex);
    second.end_(testbed, secondIndex);
    testbed.loop().runFor(1s);
    testbed.stopCallers();
    testbed.settle(20s);
    violations = testbed.findViolations();
    std::cout << ": " << violations.total() << " violations " << violations.example_ << std::endl;
    return violations;
}

/// Runs the cases with the rule broken; true if that was noticed.
bool noticesFault(const ProofContext &context, const Proof &proof)
{
    const ProofOutcome broken = proof.run_(context, proof.faultPoint_);
    std::cout << "    broken by " << proof.faultPoint_ << ": " << broken.violations_
              << " violations, " << broken.example_.substr(0, 80) << std::endl;
    return broken.violations_ > 0;
}

bool printProof(const ProofContext &context, const Proof &proof)
{
    const ProofOutcome good = proof.run_(context, "");
    std::cout << "    " << proof.promise_ << ": " << good.note_ << " " << good.example_
              << std::endl;
    const bool isCaught = !context.skipsFaults_ && noticesFault(context, proof);
    const char *caught = isCaught ? "yes" : "no";
    std::cout << proof.promise_ << " | " << good.cases_ << " | " << good.violations_ << " | "
              << (context.skipsFaults_ ? "-" : proof.faultPoint_) << " | "
              << (context.skipsFaults_ ? "not run" : caught) << std::endl;
    return good.violations_ == 0 && (isCaught || context.skipsFaults_);
}

} // namespace

const std::vector<Proof> &allProofs()
{
    static const std::vector<Proof> proofs{
        { "own-answer", "answer-unmatched", &proveOwnAnswer },
        { "not-run", "not-run-guessed", &proveNotRun },
        { "at-most-once", "claim-skipped", &proveAtMostOnce },
        { "leaving", "leaving-ignored", &proveLeaving },
        { "graceful-stop", "drain-skipped", &proveGracefulStop },
        { "configuration", "rules-frozen", &proveConfiguration }
    };
    return proofs;
}

ProofOutcome proveFaultPairs(const ProofContext &context, int seeds, int instances)
{
    ProofOutcome outcome;
    for (int i = 0; i < seeds; ++i) {
        const Violations found =
                runFaultPair(context, context.seed_ + static_cast<std::uint64_t>(i), instances);
        ++outcome.cases_;
        outcome.violations_ += found.total();
        outcome.example_ = found.example_.empty() ? outcome.example_ : found.example_;
    }
    return outcome;
}

bool runProofs(const ProofContext &context, const std::string &promise, int seeds, int instances)
{
    std::cout << "promise | cases run | violations | fault injected | caught\n";
    bool isProved = true;
    for (const Proof &proof : allProofs()) {
        if (promise.empty() || promise == proof.promise_) {
            isProved = printProof(context, proof) && isProved;
        }
    }
    if (seeds > 0) {
        const ProofOutcome pairs = proveFaultPairs(context, seeds, instances);
        std::cout << "fault pairs | " << pairs.cases_ << " | " << pairs.violations_ << " | - | -\n";
        isProved = isProved && pairs.violations_ == 0;
    }
    return isProved;
}

} // namespace qz::testing
