// The proofs that each promise holds in separate processes under real failures.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace qz::testing {

/// Where programs and logs are, and the seed of all random choices.
struct ProofContext
{
    std::string daemon_;
    std::string faultyDaemon_; ///< The test build, in which a rule can be broken.
    std::string logs_;
    std::uint64_t seed_ = 1;
    bool skipsFaults_ = false; ///< Runs the promises only, without breaking a rule.
};

/// What a run of a promise's cases found.
struct ProofOutcome
{
    int cases_ = 0;
    int violations_ = 0;
    std::string example_; ///< Of a violation.
    std::string note_;    ///< Figures worth knowing beside the verdict.
};

/// Runs cases with the rule named by @p faultPoint broken; empty: none.
using ProofCases = ProofOutcome (*)(const ProofContext &context, const std::string &faultPoint);

/// One promise, its cases and the fault that its proof must notice.
struct Proof
{
    std::string promise_;
    std::string faultPoint_;
    ProofCases run_;
};

const std::vector<Proof> &allProofs();

/// Draws two faults for each of @p seeds fleets and checks every promise that callers see.
ProofOutcome proveFaultPairs(const ProofContext &context, int seeds, int instances);

/// Runs all proofs, or the one named @p promise, prints a line each, and tells whether there
/// was no violation and every fault was noticed.
bool runProofs(const ProofContext &context, const std::string &promise, int seeds, int instances);

} // namespace qz::testing
