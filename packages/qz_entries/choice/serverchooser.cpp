// Forwards a server choice to the configured policy.
#include "qz_entries/choice/serverchooser.h"

namespace qz {

std::string_view ServerChooser::policyName() const
{
    return std::visit([](const auto &policy) { return policy.name(); }, policy_);
}

std::optional<std::size_t> ServerChooser::choose(const std::vector<ServerCandidate> &candidates,
                                                 const ServerRequest &request,
                                                 std::mt19937_64 &generator) const
{
    return std::visit(
            [&](const auto &policy) { return policy.choose(candidates, request, generator); },
            policy_);
}

} // namespace qz
