// One caller's request from its arrival to its answer.
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

/// Finds the route, places the request, tries it again where that is safe, and answers.
///
/// A request that is not repeatable is never sent again once a byte of it was given to a
/// connection, unless the backend server said that it has not run it. A repeatable one may
/// be sent to a second server, also while the first is silent, within the route's attempts
/// and the retry budget. "Not run" is only told if each server that the request was sent to
/// said so.
/// @see Forwarder, ForwardAttempt
class ForwardedRequest : private CallerExchangeListener
{
public:
    ForwardedRequest(Forwarder &forwarder, std::shared_ptr<CallerExchange> exchange);
    ~ForwardedRequest() override;

    /// Finds the route among those that are in force now, and places the request.
    void start();

    // For ForwardAttempt.
    Forwarder &forwarder() { return forwarder_; }
    const std::string &requestId() const { return requestId_; }
    bool isRepeatable() const { return route_->isRepeatable_; }
    HttpHead makeRequestHead(const Backend &server) const;
    const std::string &bufferedBody() const { return body_; }
    std::string takeStreamedBody();
    bool isRequestComplete() const;
    void sendMoreBody();
    bool isStreaming(const ForwardAttempt &attempt) const { return streaming_ == &attempt; }
    bool startStreaming(ForwardAttempt &attempt);
    void streamResponse(ForwardAttempt &attempt, std::string_view data);
    void handleAttemptResponse(ForwardAttempt &attempt);
    void handleAttemptFailure(ForwardAttempt &attempt, const Error &error);

private:
    void takeMoreBody() override;
    void takeDrained() override;
    void takeCallerGone() override;

    bool findRoute();
    bool readDeadline();
    bool takeRequestBody();
    std::vector<PlacementCandidate> makeCandidates() const;
    PlacementRequest makePlacementRequest();
    std::optional<Placement> choose();
    bool placeNext();
    void launch(const Placement &placement);
    bool mayTryAgain() const;
    void tryAgainOrFail(const Error &error);
    void armSecondTry();
    void trySecond();
    void expire();
    AttemptResult classify(const ForwardAttempt &attempt) const;
    void deliver(ForwardAttempt &attempt);
    void fail(const Error &error);
    Duration retryAfter() const;
    bool hasRunningTry() const;
    void endTry(ForwardAttempt &attempt, AttemptResult result, const std::string &detail);
    void endOtherTries(AttemptResult result);
    void end(const std::string &outcome, int status, const std::string &cause);

    Forwarder &forwarder_;
    const std::shared_ptr<CallerExchange> exchange_;
    std::shared_ptr<const RoutingTable> routes_; ///< Of the time of the start; null before.
    const RequestRoute *route_ = nullptr;        ///< In routes_.
    ServiceId service_;
    std::string requestId_;
    std::string body_; ///< The body, or its start if it is streamed.
    std::uint64_t streamedBytes_ = 0;
    bool isBodyStreamed_ = false; ///< The request cannot be sent a second time.
    TimePoint deadline_;
    std::vector<std::shared_ptr<Backend>> servers_; ///< Of the last choice.
    std::vector<std::unique_ptr<ForwardAttempt>> tries_;
    ForwardAttempt *streaming_ = nullptr; ///< Its answer goes to the caller as it comes.
    int sentCount_ = 0;                   ///< Tries that gave bytes to a connection and have ended.
    int connectFailures_ = 0;
    bool mayHaveRun_ = false; ///< A server got the request and did not deny running it.
    bool isEnded_ = false;
    nlohmann::json tryLog_ = nlohmann::json::array();
    Timers::HandlePtr deadlineTimer_;
    Timers::HandlePtr secondTryTimer_;
};

} // namespace qz
