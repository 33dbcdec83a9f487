// The backend servers of the platform's list, with the labels of the operators' rules.
#pragma once

#include "qz_platform/instances/instancelist.h"
#include "qz_rules/model/ruleset.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace qz {

/// One backend server with its effective labels.
struct BackendServer
{
    ListedBackendServer listed_;
    Labels labels_; ///< Labels of the rules override those of the platform's list.
    ServiceId service_;

    /// Returns whether the server gets no new work: the platform lists it as leaving, or its
    /// "drain" label is "true".
    bool isLeaving() const;
};

/// Finds the backend servers that may serve a kind of work. The rules and the platform's list are
/// only replaced as a whole: the rules when a version is adopted, the list when it was fetched.
class BackendDirectory
{
public:
    using ServerPtr = std::shared_ptr<const BackendServer>;
    using Servers = std::vector<ServerPtr>;

    void setRules(std::shared_ptr<const RuleSet> rules);
    void setListing(std::vector<ListedBackendServer> listing);

    /// Returns the servers, including leaving ones, that match the selector of the kind with this
    /// name in the current rules. Returns none if the current rules have no such kind.
    const Servers &serversFor(const WorkKind &kind) const;

    /// Returns the server with this id, or nullptr if there is none.
    ServerPtr find(const BackendServerId &id) const;

    /// Returns all servers, ordered by id.
    const std::map<BackendServerId, ServerPtr> &all() const { return servers_; }

private:
    void rebuild();

    std::shared_ptr<const RuleSet> rules_;
    std::vector<ListedBackendServer> listing_;
    std::map<BackendServerId, ServerPtr> servers_;
    std::map<std::string, Servers> byKind_; ///< One entry per kind of rules_.
};

} // namespace qz
