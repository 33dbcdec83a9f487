// What this instance works by at the moment: rules, members, backend servers.
#pragma once

#include "qz_fleet/membership/member.h"
#include "qz_gates/directory/backenddirectory.h"
#include "qz_gates/directory/gatemap.h"

#include <functional>
#include <memory>
#include <vector>

namespace qz {

/// One place for the state that several duties read. Its writers are the drivers of rules and
/// membership; each change replaces a part whole.
class FleetState
{
public:
    explicit FleetState(Member self);
    FleetState(const FleetState &) = delete;
    FleetState &operator=(const FleetState &) = delete;

    /// Invariant: the version only rises. A lower or equal one is ignored.
    void adoptRules(RulesVersion version, std::shared_ptr<const RuleSet> rules);
    void setMembers(std::vector<Member> members);
    void setListing(std::vector<ListedBackendServer> servers);
    void setLeaving() { self_.state_ = MemberState::Leaving; }

    /// Sets the test that tells whether new work may be taken under the rules.
    void setInForceCheck(std::function<bool()> test) { isInForce_ = std::move(test); }

    bool isInForce() const { return rules_ != nullptr && isInForce_ && isInForce_(); }
    bool isLeaving() const { return self_.state_ == MemberState::Leaving; }
    const Member &self() const { return self_; }
    RulesVersion rulesVersion() const { return version_; }
    const std::shared_ptr<const RuleSet> &rules() const { return rules_; }
    const std::vector<Member> &members() const { return members_; }
    const BackendDirectory &directory() const { return directory_; }
    const GateMap &gateMap() const { return gateMap_; }

private:
    Member self_;
    RulesVersion version_ = 0; ///< Never falls.
    std::shared_ptr<const RuleSet> rules_;
    std::function<bool()> isInForce_;
    std::vector<Member> members_; ///< Live and leaving ones, this instance among them.
    BackendDirectory directory_;
    GateMap gateMap_;
};

} // namespace qz
