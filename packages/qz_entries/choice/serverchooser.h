// Chooses the backend server, and thereby the gate, that a request is sent to.
#pragma once

#include "qz_entries/choice/localfirstchoice.h"
#include "qz_entries/choice/poweroftwochoice.h"
#include "qz_entries/choice/randomchoice.h"

#include <optional>
#include <random>
#include <string_view>
#include <variant>
#include <vector>

namespace qz {

using ChoicePolicy = std::variant<LocalFirstChoice, PowerOfTwoChoice, RandomChoice>;

/// Chooses among the servers that the rules allow for a request. Keeps no state between calls: for
/// a retry, leave out the candidates of earlier attempts. Takes time proportional to the number of
/// candidates.
/// @see ServerCandidate, RetryBudget
class ServerChooser
{
public:
    explicit ServerChooser(ChoicePolicy policy = LocalFirstChoice())
        : policy_(policy)
    {
    }

    /// Returns "local-first", "power-of-two" or "random".
    std::string_view policyName() const;

    /// Returns the index of the chosen candidate, or no value if none has a weight above 0. The
    /// same arguments and state of @p generator give the same choice.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;

private:
    ChoicePolicy policy_;
};

} // namespace qz
