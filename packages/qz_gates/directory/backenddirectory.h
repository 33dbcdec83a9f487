// The backend servers as the platform lists them and the operators label them.
#pragma once

#include "qz_platform/instances/instancelist.h"
#include "qz_rules/model/ruleset.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace qz {

/// One backend server with the labels in force.
struct BackendServer
{
    ListedBackendServer listed_;
    Labels labels_; ///< The operators' before the platform's.
    ServiceId service_;

    /// Whether the platform's list or an operator's label says that it gets no new work.
    bool isLeaving() const;
};

/// Answers which backend servers may serve a kind of work. Both its inputs are replaced
/// whole: the rules when a version is adopted, the listing when one was fetched.
class BackendDirectory
{
public:
    using ServerPtr = std::shared_ptr<const BackendServer>;
    using Servers = std::vector<ServerPtr>;

    void setRules(std::shared_ptr<const RuleSet> rules);
    void setListing(std::vector<ListedBackendServer> listing);

    /// The servers that match the selector that a kind of this name has in the rules in force,
    /// leaving ones included; none if there is no such kind any more.
    const Servers &serversFor(const WorkKind &kind) const;

    /// The server with this id; nullptr if there is none.
    ServerPtr find(const BackendServerId &id) const;

    /// All servers, ordered by id.
    const std::map<BackendServerId, ServerPtr> &all() const { return servers_; }

private:
    void rebuild();

    std::shared_ptr<const RuleSet> rules_;
    std::vector<ListedBackendServer> listing_;
    std::map<BackendServerId, ServerPtr> servers_;
    std::map<std::string, Servers> byKind_; ///< One entry for each kind of rules_.
};

} // namespace qz
