// Owner and deputy of a server by rendezvous hash.
#include "qz_placement/choice/serverroles.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Servers that are known for longer than the list keeps them are forgotten at this number.
constexpr std::size_t knownLimit = 10000;

bool isSame(const std::vector<RoleCandidate> &a, const std::vector<RoleCandidate> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.id_ == y.id_ && x.location_.failureDomain_ == y.location_.failureDomain_;
    });
}

/// The id of the first of those that @p isEligible accepts; empty if it accepts none.
template<typename Predicate>
InstanceId firstOf(const std::vector<RoleCandidate> &candidates, const BackendServerId &server,
                   Predicate isEligible)
{
    const RoleCandidate *first = nullptr;
    std::uint64_t highest = 0;
    for (const RoleCandidate &candidate : candidates) {
        if (!isEligible(candidate)) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(server.value(), candidate.id_.value());
        if (first == nullptr || weight > highest) {
            first = &candidate;
            highest = weight;
        }
    }
    return first == nullptr ? InstanceId() : first->id_;
}

} // namespace

ServerRoles::ServerRoles(InstanceId self)
    : self_(std::move(self))
{
}

void ServerRoles::setCandidates(std::vector<RoleCandidate> candidates)
{
    if (!isSame(candidates, candidates_)) {
        candidates_ = std::move(candidates);
        known_.clear();
    }
}

ServerRole ServerRoles::find(const BackendServerId &server, const Location &location) const
{
    const auto found = known_.find(server);
    if (found != known_.end()) {
        return found->second;
    }
    if (known_.size() >= knownLimit) {
        known_.clear();
    }
    return known_[server] = compute(server, location);
}

ServerRole ServerRoles::compute(const BackendServerId &server, const Location &location) const
{
    const auto isOfDomain = [&location](const RoleCandidate &candidate) {
        return candidate.location_.failureDomain_ == location.failureDomain_;
    };
    if (firstOf(candidates_, server, isOfDomain) == self_) {
        return ServerRole::Owner;
    }
    const auto isNear = [&](const RoleCandidate &candidate) {
        return !isOfDomain(candidate) && candidate.location_.region_ == location.region_;
    };
    InstanceId deputy = firstOf(candidates_, server, isNear);
    if (deputy.isEmpty()) {
        deputy = firstOf(candidates_, server, [&](const auto &c) { return !isOfDomain(c); });
    }
    return deputy == self_ ? ServerRole::Backup : ServerRole::None;
}

} // namespace qz
