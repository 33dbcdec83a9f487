// Messages between entries and gates.
#include "qz_proxy/dispatch/gatedispatcher.h"

#include "qz_core/faults/faultpoint.h"
#include "qz_core/logging/logger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace qz {

namespace {

/// Time for which an entry waits for the gate's answer after the request's deadline.
constexpr Duration answerTimeoutMargin = std::chrono::milliseconds(250);

} // namespace

GateDispatcher::GateDispatcher(EventLoop &loop, const InstanceId &self, PeerLinks &links,
                               GateSet &gates)
    : loop_(loop)
    , self_(self)
    , links_(links)
    , gates_(gates)
{
    links_.setHandler(MessageKind::ExecuteRequest,
                      [this](const InstanceId &from, std::string_view payload) {
                          handleRequest(from, payload);
                      });
    links_.setHandler(MessageKind::ExecuteAnswer,
                      [this](const InstanceId &from, std::string_view payload) {
                          handleAnswer(from, payload);
                      });
    links_.setHandler(MessageKind::CancelRequest,
                      [this](const InstanceId & /*from*/, std::string_view payload) {
                          handleCancel(payload);
                      });
    links_.setUnsentHandler([this](const InstanceId & /*to*/, MessageKind kind,
                                   std::string_view payload) { handleUnsent(kind, payload); });
    links_.setLinkLostHandler([this](const InstanceId &peer) { handleLinkLost(peer); });
}

void GateDispatcher::setLinkLostListener(std::function<void(const InstanceId &)> listener)
{
    linkLostListener_ = std::move(listener);
}

void GateDispatcher::dispatch(const InstanceId &gate, ExecuteRequest request, Done done)
{
    if (gate == self_) {
        gates_.execute(std::move(request), std::move(done));
        return;
    }
    const RequestId requestId = request.requestId_;
    const auto sent = links_.send(gate, MessageKind::ExecuteRequest, packMessage(request));
    if (sent.has_error()) {
        const Error error{ ErrorKind::GateUnreachable, sent.error().message_ };
        done(makeErrorAnswer(requestId, request.server_, error));
        return;
    }
    Pending &pending = pending_[requestId];
    pending.gate_ = gate;
    pending.server_ = request.server_;
    pending.done_ = std::move(done);
    pending.timeout_ = loop_.callAfter(request.timeLeft_ + answerTimeoutMargin, [this, requestId] {
        fail(requestId, ErrorKind::PeerLinkLost, "the gate did not answer in time");
    });
}

void GateDispatcher::cancel(const RequestId &requestId)
{
    const auto found = pending_.find(requestId);
    if (found == pending_.end()) {
        return;
    }
    const CancelRequest message{ requestId, found->second.server_ };
    // If the message cannot be sent, the gate runs the request until its deadline.
    (void)links_.send(found->second.gate_, MessageKind::CancelRequest, packMessage(message));
}

void GateDispatcher::handleRequest(const InstanceId &from, std::string_view payload)
{
    auto request = unpackMessage<ExecuteRequest>(payload);
    if (request.has_error()) {
        log(LogLevel::Error, "execute-request-malformed", { { "from", from.value() } });
        return;
    }
    gates_.execute(std::move(request.value()), [this, from](const ExecuteAnswer &answer) {
        const auto sent = links_.send(from, MessageKind::ExecuteAnswer, packMessage(answer));
        if (sent.has_error()) {
            log(LogLevel::Warning, "execute-answer-unsent",
                { { "to", from.value() }, { "request", answer.requestId_.value() } });
        }
    });
}

void GateDispatcher::handleAnswer(const InstanceId &from, std::string_view payload)
{
    auto answer = unpackMessage<ExecuteAnswer>(payload);
    if (answer.has_error()) {
        log(LogLevel::Error, "execute-answer-malformed", { { "from", from.value() } });
        return;
    }
    auto found = pending_.find(answer.value().requestId_);
    if (isFaultInjected(FaultPoint::AnswerUnmatched)) {
        found = std::find_if(pending_.begin(), pending_.end(),
                             [&](const auto &entry) { return entry.second.gate_ == from; });
    }
    if (found == pending_.end() || found->second.gate_ != from) {
        return; // The answer is late, or comes from another instance than the request was sent to.
    }
    const RequestId requestId = found->first;
    finish(requestId, std::move(answer.value()));
}

void GateDispatcher::handleCancel(std::string_view payload)
{
    const auto request = unpackMessage<CancelRequest>(payload);
    if (request.has_value()) {
        gates_.cancel(request.value());
    }
}

void GateDispatcher::handleUnsent(MessageKind kind, std::string_view payload)
{
    if (kind != MessageKind::ExecuteRequest) {
        return;
    }
    const auto request = unpackMessage<ExecuteRequest>(payload);
    if (request.has_value()) {
        fail(request.value().requestId_, ErrorKind::GateUnreachable,
             "the link to the gate did not open");
    }
}

void GateDispatcher::handleLinkLost(const InstanceId &peer)
{
    std::vector<RequestId> lost;
    for (const auto &[requestId, pending] : pending_) {
        if (pending.gate_ == peer) {
            lost.push_back(requestId);
        }
    }
    for (const RequestId &requestId : lost) {
        fail(requestId, ErrorKind::PeerLinkLost, "the link to the gate was lost");
    }
    if (linkLostListener_) {
        linkLostListener_(peer);
    }
}

void GateDispatcher::fail(const RequestId &requestId, ErrorKind kind, const std::string &message)
{
    const auto found = pending_.find(requestId);
    if (found != pending_.end()) {
        const BackendServerId server = found->second.server_;
        finish(requestId, makeErrorAnswer(requestId, server, { kind, message }));
    }
}

void GateDispatcher::finish(const RequestId &requestId, ExecuteAnswer answer)
{
    const auto node = pending_.extract(requestId);
    if (!node.empty()) {
        node.mapped().done_(std::move(answer));
    }
}

} // namespace qz
