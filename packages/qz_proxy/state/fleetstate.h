// The rules, members and backend servers that this instance currently uses.
#pragma once

#include "qz_fleet/membership/member.h"
#include "qz_gates/directory/backenddirectory.h"
#include "qz_gates/directory/gatemap.h"

#include <functional>
#include <memory>
#include <vector>

namespace qz {

/// State that several components share for reading. The components for rules, membership and the
/// listing of backend servers update it; each update replaces its part as a whole.
class FleetState
{
public:
    explicit FleetState(Member self);
    FleetState(const FleetState &) = delete;
    FleetState &operator=(const FleetState &) = delete;

    /// Replaces the rules if @p version is higher than the current one; ignores them otherwise.
    void adoptRules(RulesVersion version, std::shared_ptr<const RuleSet> rules);
    void setMembers(std::vector<Member> members);
    void setListing(std::vector<ListedBackendServer> servers);
    void setLeaving() { self_.state_ = MemberState::Leaving; }

    /// Sets the function that returns whether new requests may be accepted under the rules.
    void setInForceCheck(std::function<bool()> check) { inForceCheck_ = std::move(check); }

    /// Returns whether there are rules and the check confirms that they are in force.
    bool isInForce() const { return rules_ != nullptr && inForceCheck_ && inForceCheck_(); }
    bool isLeaving() const { return self_.state_ == MemberState::Leaving; }
    const Member &self() const { return self_; }
    RulesVersion rulesVersion() const { return rulesVersion_; }
    const std::shared_ptr<const RuleSet> &rules() const { return rules_; }
    const std::vector<Member> &members() const { return members_; }
    const BackendDirectory &directory() const { return directory_; }
    const GateMap &gateMap() const { return gateMap_; }

private:
    Member self_;
    RulesVersion rulesVersion_ = 0; ///< Never decreases.
    std::shared_ptr<const RuleSet> rules_;
    std::function<bool()> inForceCheck_;
    std::vector<Member> members_; ///< Live and leaving ones, including this instance.
    BackendDirectory directory_;
    GateMap gateMap_;
};

} // namespace qz
