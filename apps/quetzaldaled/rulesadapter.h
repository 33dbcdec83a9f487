// The rules at work in a daemon: their messages, and the operators' endpoints for them.
#pragma once

#include "qz_fleet/links/peerlinks.h"
#include "qz_http/server/httpexchange.h"
#include "qz_proxy/view/workingview.h"
#include "qz_rules/operators/rulesoperations.h"
#include "qz_rules/spread/rulesservice.h"

#include <memory>
#include <set>
#include <string>

namespace qz {

/// Connects a RulesService to the links, the working view and the operators.
class RulesAdapter
{
public:
    struct Parts
    {
        EventLoop &loop_;
        Table &table_;
        ObjectStore &objects_;
        PeerLinks &links_;
        WorkingView &view_;
    };

    RulesAdapter(const Parts &parts, std::string incarnation, Duration inForceLimit);
    RulesAdapter(const RulesAdapter &) = delete;
    RulesAdapter &operator=(const RulesAdapter &) = delete;

    void setMembers(const std::vector<Member> &members);
    void setListed(const InstanceListing &listing);

    /// GET and PUT /operator/rules.
    void handleRules(const std::shared_ptr<HttpExchange> &exchange);
    /// GET /operator/status.
    void handleStatus(const std::shared_ptr<HttpExchange> &exchange);

    nlohmann::json dumpState() const;

private:
    void send(const VoterId &to, MessageKind kind, std::string payload);
    void takeRequest(const InstanceId &from, std::string_view payload);
    void takeAnswer(const InstanceId &from, std::string_view payload);
    void adopt(const RulesRevision &revision);

    const Parts parts_;
    const std::string incarnation_;
    std::unique_ptr<RulesService> service_;
    std::unique_ptr<RulesOperations> operations_; ///< On service_.
};

} // namespace qz
