// What this instance works by at the moment.
#include "qz_proxy/view/workingview.h"

#include "qz_core/faults/faultpoint.h"

#include <utility>

namespace qz {

WorkingView::WorkingView(Member self)
    : self_(std::move(self))
{
    setMembers({ self_ });
}

void WorkingView::adoptRules(RulesVersion version, std::shared_ptr<const RuleSet> rules)
{
    const bool isFrozen = rules_ != nullptr && isFaultInjected(FaultPoint::RulesFrozen);
    if (version <= version_ || isFrozen) {
        return;
    }
    version_ = version;
    rules_ = std::move(rules);
    directory_.setRules(rules_);
}

void WorkingView::setMembers(std::vector<Member> members)
{
    members_ = std::move(members);
    gateMap_.setMembers(members_);
}

void WorkingView::setListing(std::vector<ListedBackendServer> servers)
{
    directory_.setListing(std::move(servers));
}

} // namespace qz
