// One caller's request, from its arrival to the end of its response.
#pragma once

#include "qz_forward/requests/forwardattempt.h"
#include "qz_forward/requests/forwarder.h"
#include "qz_http/stream/callerexchange.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// Finds the route, chooses a backend server, retries where that is safe, and responds.
///
/// A request that is not repeatable is never sent again once a byte of it was given to a
/// connection, unless the backend server reported that it was not run. A repeatable request may
/// be sent to another server, even while the first one has not responded yet (hedging), within
/// the route's number of attempts and the retry budget. The caller gets the outcome "not run"
/// only if each server that got the request reported that it was not run.
///
/// While the servers cannot be reached from here, attempts go to other instances in their place. A
/// request from another instance goes to one server and never to a third instance.
/// @see Forwarder, ForwardAttempt, ServicePath
class ForwardedRequest : private CallerExchangeListener
{
public:
    ForwardedRequest(Forwarder &forwarder, std::shared_ptr<CallerExchange> exchange);
    ~ForwardedRequest() override;

    /// Finds the route in the current routing table and starts the first attempt.
    void start();

    /// Ends the request at the stop time of this instance if that comes before its deadline.
    /// @see Forwarder::startStopping
    void applyStopTime();

    // Used by ForwardAttempt.
    Forwarder &forwarder() { return forwarder_; }
    const std::string &requestId() const { return requestId_; }
    bool isRepeatable() const { return route_->isRepeatable_; }
    /// Returns the route; not before it was found.
    const RequestRoute &route() const { return *route_; }
    /// Returns the request head to send to @p server.
    HttpHead makeRequestHead(const Backend &server) const;
    /// Applies what another instance says of servers that leave.
    void applyLeavingServers(const HttpHeaders &headers);
    /// Returns the part of the body that had arrived when the request was started.
    const std::string &bufferedBody() const { return body_; }
    /// Returns the data of a streamed body that arrived since the last call.
    std::string takeStreamedBody();
    /// Returns whether the whole body has arrived and was taken.
    bool isRequestComplete() const;
    /// Lets the attempts send the body data that has arrived.
    void sendMoreBody();
    bool isStreaming(const ForwardAttempt &attempt) const { return streamingAttempt_ == &attempt; }
    /// Starts to pass on the response of @p attempt while it arrives. Returns false, without any
    /// effect, if this response must not be streamed.
    bool startStreaming(ForwardAttempt &attempt);
    void streamResponse(ForwardAttempt &attempt, std::string_view data);
    /// Handles the complete response of @p attempt.
    void handleAttemptResponse(ForwardAttempt &attempt);
    /// Handles the failure of @p attempt before its response was complete.
    void handleAttemptFailure(ForwardAttempt &attempt, const Error &error);

private:
    void takeMoreBody() override;
    void takeDrained() override;
    void takeCallerGone() override;

    /// Chooses a server for the request, whose fingerprint is known or does not matter.
    void place();
    /// Returns whether the whole body must arrive before the request can be placed, because only
    /// the body can tell it from a request that crashes servers.
    bool needsWholeBody() const;
    RequestHasher makeHasher() const;
    /// Returns the fingerprint, or nothing while a streamed body has not arrived.
    std::optional<RequestFingerprint> fingerprint();
    /// Returns the number of servers that this request has ended or may have ended, here or
    /// elsewhere.
    int crashCount();
    void recordBrokenConnection(const ForwardAttempt &attempt);
    void recordAnswered();
    bool findRoute();
    bool readDeadline();
    bool readRequestBody();
    /// Returns whether the request comes from another instance of the fleet.
    bool readSender();
    int maxAttempts() const { return isFromPeer_ ? 1 : route_->maxAttempts_; }
    /// Classifies what another instance answered by itself, or nothing if a server's answer came
    /// through it.
    std::optional<AttemptResult> classifyPeerAnswer(const ForwardAttempt &attempt) const;
    void handleUnablePeer(ForwardAttempt &attempt);
    std::vector<PlacementCandidate> makeCandidates() const;
    PlacementRequest makePlacementRequest();
    std::optional<Placement> chooseServer();
    /// Starts an attempt if a server can be chosen. Returns whether it did.
    bool startNextAttempt();
    /// The same within the retry budget.
    bool startRetry();
    void startAttempt(const Placement &placement);
    bool canRetry() const;
    void retryOrFail(const Error &error);
    void scheduleHedging();
    HedgingCandidate makeHedgingCandidate(const ForwardAttempt &attempt) const;
    void checkHedging();
    /// Returns the time at which the request ends with or without a response.
    TimePoint endTime() const;
    void scheduleEnd();
    void handleEndTime();
    AttemptResult classify(const ForwardAttempt &attempt) const;
    /// Returns the head of the response of @p attempt as the caller gets it.
    HttpHead makeResponseHead(const ForwardAttempt &attempt) const;
    void sendResponse(ForwardAttempt &attempt);
    /// Ends a response that has begun so that the caller does not take its part for the whole.
    void cutResponse(AttemptResult result, const std::string &cause);
    /// Sends the error to the caller, or cuts the response if it has begun.
    void fail(const Error &error);
    Duration retryAfter(ErrorKind kind);
    bool hasActiveAttempt() const;
    void endAttempt(ForwardAttempt &attempt, AttemptResult result, const std::string &detail);
    void endActiveAttempts(AttemptResult result, const ForwardAttempt *except = nullptr);
    void finish(const std::string &outcome, int status, const std::string &cause);

    Forwarder &forwarder_;
    const std::shared_ptr<CallerExchange> exchange_;
    std::shared_ptr<const RoutingTable> routes_; ///< Null until the request is started.
    const RequestRoute *route_ = nullptr;        ///< Points into routes_.
    ServiceId service_;
    std::string requestId_;
    std::string body_;                ///< The body, or its beginning if it is streamed.
    std::uint64_t receivedBytes_ = 0; ///< Size of the body received so far.
    /// The body arrives while it is sent, so the request cannot be sent a second time.
    bool isBodyStreamed_ = false;
    bool isFromPeer_ = false;    ///< Another instance has sent it, which cannot reach the servers.
    bool isBodyAwaited_ = false; ///< The request is placed once its body has arrived.
    /// Takes the body while it is streamed; null if the body is held.
    std::unique_ptr<RequestHasher> bodyHasher_;
    std::optional<RequestFingerprint> fingerprint_; ///< Once it was needed and known.
    Duration quarantineTime_{ 0 };                  ///< If the request is quarantined.
    TimePoint deadline_;
    /// Open servers of the service when the latest attempt was started, in random order.
    std::vector<std::shared_ptr<Backend>> candidateServers_;
    std::vector<std::unique_ptr<ForwardAttempt>> attempts_;
    /// The attempt whose response is passed on to the caller while it arrives. All others have
    /// ended once it is set.
    ForwardAttempt *streamingAttempt_ = nullptr;
    std::uint64_t streamedBytes_ = 0; ///< Of the body of that response.
    int sentAttempts_ = 0;            ///< Ended attempts that had given bytes to a connection.
    int connectFailures_ = 0;
    int unablePeers_ = 0;     ///< Instances that could not give the request to a server.
    bool mayHaveRun_ = false; ///< A server got the request and did not report it as not run.
    bool isEnded_ = false;
    nlohmann::json attemptLog_ = nlohmann::json::array();
    Timers::HandlePtr endTimer_; ///< Set from the start to the end of the request.
    Timers::HandlePtr hedgingTimer_;
};

} // namespace qz
