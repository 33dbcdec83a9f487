// Sends requests to gates on this or other instances, and passes requests of other instances to
// the gates on this instance.
#pragma once

#include "qz_fleet/links/peerlinks.h"
#include "qz_gates/gate/gateset.h"
#include "qz_gates/messages/executemessages.h"

#include <functional>
#include <map>

namespace qz {

/// Matches each answer to its request by request id and instance.
///
/// Invariant: a request that was passed to a link ends as not run only if the gate reports so or
/// the link reports that no byte of it was sent. If the link is lost or the timeout expires, the
/// outcome is unknown, and an answer that arrives afterwards is dropped.
/// @see CallerRequest, GateSet
class GateDispatcher
{
public:
    using Done = std::function<void(ExecuteAnswer)>;

    /// Sets the handlers of @p links for execute and cancel messages, lost links and unsent
    /// messages. The referenced objects outlive the dispatcher.
    GateDispatcher(EventLoop &loop, const InstanceId &self, PeerLinks &links, GateSet &gates);
    GateDispatcher(const GateDispatcher &) = delete;
    GateDispatcher &operator=(const GateDispatcher &) = delete;

    /// Sends @p request to the gate on the instance @p gate. Calls @p done once, possibly before
    /// this function returns.
    void dispatch(const InstanceId &gate, ExecuteRequest request, Done done);

    /// Asks the gate to cancel the request, since its caller disconnected. Its `done` is still
    /// called. Requests to a gate on this instance are not cancelled.
    void cancel(const RequestId &requestId);

    /// Sets a function that is called after a link was lost and its pending requests have ended.
    void setLinkLostListener(std::function<void(const InstanceId &)> listener);

    /// Returns the number of requests to other instances that have no answer yet.
    std::size_t pendingCount() const { return pending_.size(); }

private:
    struct Pending
    {
        InstanceId gate_;
        BackendServerId server_;
        Done done_;
        Timers::HandlePtr timeout_;
    };

    void handleRequest(const InstanceId &from, std::string_view payload);
    void handleAnswer(const InstanceId &from, std::string_view payload);
    void handleCancel(std::string_view payload);
    void handleUnsent(MessageKind kind, std::string_view payload);
    void handleLinkLost(const InstanceId &peer);
    void fail(const RequestId &requestId, ErrorKind kind, const std::string &message);
    void finish(const RequestId &requestId, ExecuteAnswer answer);

    EventLoop &loop_;
    const InstanceId self_;
    PeerLinks &links_;
    GateSet &gates_;
    std::map<RequestId, Pending> pending_;
    std::function<void(const InstanceId &)> linkLostListener_;
};

} // namespace qz
