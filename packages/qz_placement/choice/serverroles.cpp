// Computes the owner and the backup of a server by rendezvous hashing.
#include "qz_placement/choice/serverroles.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// The cache is cleared at this size, because it also holds servers that are no longer listed.
constexpr std::size_t maxCachedServers = 10000;

bool isSame(const std::vector<RoleCandidate> &a, const std::vector<RoleCandidate> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.id_ == y.id_ && x.location_.failureDomain_ == y.location_.failureDomain_;
    });
}

/// Returns the id of the candidate with the highest weight for @p server among those that
/// @p isEligible accepts; empty if it accepts none.
template<typename Predicate>
InstanceId highestWeighted(const std::vector<RoleCandidate> &candidates,
                           const BackendServerId &server, Predicate isEligible)
{
    const RoleCandidate *best = nullptr;
    std::uint64_t highest = 0;
    for (const RoleCandidate &candidate : candidates) {
        if (!isEligible(candidate)) {
            continue;
        }
        const std::uint64_t weight = rendezvousWeight(server.value(), candidate.id_.value());
        if (best == nullptr || weight > highest) {
            best = &candidate;
            highest = weight;
        }
    }
    return best == nullptr ? InstanceId() : best->id_;
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
        cache_.clear();
    }
}

ServerRole ServerRoles::find(const BackendServerId &server, const Location &location) const
{
    const auto found = cache_.find(server);
    if (found != cache_.end()) {
        return found->second;
    }
    if (cache_.size() >= maxCachedServers) {
        cache_.clear();
    }
    return cache_[server] = compute(server, location);
}

ServerRole ServerRoles::compute(const BackendServerId &server, const Location &location) const
{
    const auto isInDomain = [&location](const RoleCandidate &candidate) {
        return candidate.location_.failureDomain_ == location.failureDomain_;
    };
    if (highestWeighted(candidates_, server, isInDomain) == self_) {
        return ServerRole::Owner;
    }
    const auto isInOtherDomainOfRegion = [&](const RoleCandidate &candidate) {
        return !isInDomain(candidate) && candidate.location_.region_ == location.region_;
    };
    InstanceId backup = highestWeighted(candidates_, server, isInOtherDomainOfRegion);
    if (backup.isEmpty()) {
        backup =
                highestWeighted(candidates_, server, [&](const auto &c) { return !isInDomain(c); });
    }
    return backup == self_ ? ServerRole::Backup : ServerRole::None;
}

} // namespace qz
