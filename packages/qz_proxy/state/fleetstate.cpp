// The rules, members and backend servers that this instance currently uses.
#include "qz_proxy/state/fleetstate.h"

#include "qz_core/faults/faultpoint.h"

#include <utility>

namespace qz {

FleetState::FleetState(Member self)
    : self_(std::move(self))
{
    setMembers({ self_ });
}

void FleetState::adoptRules(RulesVersion version, std::shared_ptr<const RuleSet> rules)
{
    const bool isFrozen = rules_ != nullptr && isFaultInjected(FaultPoint::RulesFrozen);
    if (version <= rulesVersion_ || isFrozen) {
        return;
    }
    rulesVersion_ = version;
    rules_ = std::move(rules);
    directory_.setRules(rules_);
}

void FleetState::setMembers(std::vector<Member> members)
{
    members_ = std::move(members);
    gateMap_.setMembers(members_);
}

void FleetState::setListing(std::vector<ListedBackendServer> servers)
{
    directory_.setListing(std::move(servers));
}

} // namespace qz
