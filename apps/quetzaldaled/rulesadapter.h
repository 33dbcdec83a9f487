// Connects the rules to a daemon: their messages on the links, and the operators' endpoints.
#pragma once

#include "qz_fleet/links/peerlinks.h"
#include "qz_http/server/httpexchange.h"
#include "qz_proxy/state/fleetstate.h"
#include "qz_rules/operators/rulesoperations.h"
#include "qz_rules/spread/rulesservice.h"

#include <memory>
#include <set>
#include <string>

namespace qz {

/// Connects a RulesService to the links, the FleetState and the operators' endpoints.
class RulesAdapter
{
public:
    struct Parts
    {
        EventLoop &loop_;
        Table &table_;
        ObjectStore &objects_;
        PeerLinks &links_;
        FleetState &fleetState_;
    };

    /// The rules are no longer in force if they could not be confirmed for @p inForceLimit.
    RulesAdapter(const Parts &parts, std::string incarnation, Duration inForceLimit);
    RulesAdapter(const RulesAdapter &) = delete;
    RulesAdapter &operator=(const RulesAdapter &) = delete;

    /// Sets the members of the fleet. The other live ones take part as voters.
    void setMembers(const std::vector<Member> &members);
    /// Sets the instances that the platform lists.
    void setListed(const InstanceListing &listing);

    /// Handles GET and PUT /operator/rules.
    void handleRules(const std::shared_ptr<HttpExchange> &exchange);
    /// Handles GET /operator/status.
    void handleStatus(const std::shared_ptr<HttpExchange> &exchange);

    nlohmann::json dumpState() const;

private:
    void send(const VoterId &to, MessageKind kind, std::string payload);
    void handleRequest(const InstanceId &from, std::string_view payload);
    void handleAnswer(const InstanceId &from, std::string_view payload);
    void adopt(const RulesRevision &revision);

    const Parts parts_;
    const std::string incarnation_;
    std::unique_ptr<RulesService> service_;
    std::unique_ptr<RulesOperations> operations_; ///< Refers to service_.
};

} // namespace qz
