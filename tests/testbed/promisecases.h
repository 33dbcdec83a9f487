// The cases of each promise.
#pragma once

#include "testbed/proofs.h"

namespace qz::testing {

ProofOutcome proveOwnAnswer(const ProofContext &context, const std::string &faultPoint);
ProofOutcome proveNotRun(const ProofContext &context, const std::string &faultPoint);
ProofOutcome proveAtMostOnce(const ProofContext &context, const std::string &faultPoint);
ProofOutcome proveLeaving(const ProofContext &context, const std::string &faultPoint);
ProofOutcome proveGracefulStop(const ProofContext &context, const std::string &faultPoint);
ProofOutcome proveConfiguration(const ProofContext &context, const std::string &faultPoint);

} // namespace qz::testing
