// Carries requests from this entry to gates, here or on other instances, and serves those
// that other entries send to the gates here.
#pragma once

#include "qz_fleet/links/peerlinks.h"
#include "qz_gates/gate/gateset.h"
#include "qz_gates/messages/executemessages.h"

#include <functional>
#include <map>

namespace qz {

/// Matches each answer to its request by id and link.
///
/// Invariant: a request that was given to a link ends as not run only if the gate says so, or
/// if the link tells that no byte of it was sent; if the link is lost or the time is up, its
/// outcome is unknown, and an answer that still comes is dropped.
/// @see CallerRequest, GateSet
class GateDispatcher
{
public:
    using Done = std::function<void(ExecuteAnswer)>;

    /// Takes over the links' handlers for execute and cancel messages, for lost links and for
    /// unsent messages. All parts outlive the dispatcher.
    GateDispatcher(EventLoop &loop, const InstanceId &self, PeerLinks &links, GateSet &gates);
    GateDispatcher(const GateDispatcher &) = delete;
    GateDispatcher &operator=(const GateDispatcher &) = delete;

    /// Sends @p request to the gate on @p gate and calls @p done once, possibly at once.
    void dispatch(const InstanceId &gate, ExecuteRequest request, Done done);

    /// The caller of @p requestId has gone; done is still called if the gate answers.
    void cancel(const RequestId &requestId);

    /// Runs after a link was lost and its requests were settled.
    void setLinkLostListener(std::function<void(const InstanceId &)> listener);

    /// Requests sent to other instances and not answered yet.
    std::size_t pendingCount() const { return pending_.size(); }

private:
    struct Pending
    {
        InstanceId gate_;
        BackendServerId server_;
        Done done_;
        Timers::HandlePtr timeout_;
    };

    void takeRequest(const InstanceId &from, std::string_view payload);
    void takeAnswer(const InstanceId &from, std::string_view payload);
    void takeCancel(std::string_view payload);
    void takeUnsent(MessageKind kind, std::string_view payload);
    void loseLink(const InstanceId &peer);
    void fail(const RequestId &requestId, ErrorKind kind, const std::string &message);
    void finish(const RequestId &requestId, ExecuteAnswer answer);

    EventLoop &loop_;
    const InstanceId self_;
    PeerLinks &links_;
    GateSet &gates_;
    std::map<RequestId, Pending> pending_;
    std::function<void(const InstanceId &)> linkLost_;
};

} // namespace qz
