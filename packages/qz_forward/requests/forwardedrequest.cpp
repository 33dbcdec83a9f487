// Routing, attempts and response of one request.
#include "qz_forward/requests/forwardedrequest.h"

#include "qz_core/faults/faultpoint.h"
#include "qz_core/hashing/hmac.h"
#include "qz_core/logging/logger.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdio>
#include <sstream>
#include <utility>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr int firstServerErrorStatus = 500;
constexpr int statusMisdirectedRequest = 421;
constexpr int successStatusClass = 2;
/// Failed connection attempts after which a request is not retried.
constexpr int maxConnectFailures = 4;
/// Instances that may reply that they cannot reach the servers either.
constexpr int maxUnablePeers = 4;
/// Field of a request that one instance gives to another: the token of the fleet and the service.
constexpr const char *peerField = "Quetzaldale-Instance-Request";
/// Field between instances: servers that have said that they leave, as ID:INCARNATION, by spaces.
constexpr const char *leavingServersField = "Quetzaldale-Leaving-Servers";
// Fields of the answers that an instance gives by itself.
constexpr const char *outcomeField = "Quetzaldale-Outcome";
constexpr const char *causeField = "Quetzaldale-Cause";
/// Unsent bytes of a body after which reading pauses for a slow receiver.
constexpr std::size_t maxUnsentBytes = std::size_t(256) * 1024;
/// Largest body that is held until it has arrived. @see needsWholeBody
constexpr std::size_t maxAwaitedBodyBytes = std::size_t(1024) * 1024;
/// A request that has ended so many servers is not sent to another one within one attempt of its
/// caller.
constexpr int maxCrashesForRetry = 1;
/// Period of the checks whether an unanswered request is sent to a second server.
constexpr Duration hedgingCheckPeriod = 20ms;
/// Bounds of the Retry-After time.
constexpr Duration minRetryAfter = 200ms;
constexpr Duration maxRetryAfter = 3s;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
}

std::string formatLeaving(const Backend &server)
{
    return server.listed().id_.value() + ":" + std::to_string(server.listed().incarnation_);
}

std::optional<Duration> parseMilliseconds(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace

ForwardedRequest::ForwardedRequest(Forwarder &forwarder, std::shared_ptr<CallerExchange> exchange)
    : forwarder_(forwarder)
    , exchange_(std::move(exchange))
{
    exchange_->setListener(this);
}

ForwardedRequest::~ForwardedRequest()
{
    exchange_->setListener(nullptr);
    isEnded_ = true; // Attempts that are destroyed now must not continue the request.
}

void ForwardedRequest::start()
{
    routes_ = forwarder_.routes();
    const auto id = exchange_->head().headers_.find(forwarder_.settings().headers_.requestId_);
    requestId_ = id.value_or("");
    if (!findRoute() || !readDeadline() || !readRequestBody()) {
        return;
    }
    isFromPeer_ = readSender();
    if (!isFromPeer_) {
        service_ = forwarder_.chooseService(*route_);
    }
    if (!forwarder_.canEndBeforeStop(service_, *route_, deadline_)) {
        fail(failure(ErrorKind::Draining, "this instance stops before the request would end"));
        return;
    }
    if (!isFromPeer_) {
        forwarder_.allowance(service_).countRequest(forwarder_.loop().now());
    }
    scheduleEnd();
    isBodyAwaited_ = needsWholeBody();
    if (!isBodyAwaited_) {
        place();
    }
}

void ForwardedRequest::place()
{
    if (isBodyStreamed_) {
        bodyHasher_ = std::make_unique<RequestHasher>(makeHasher());
        bodyHasher_->addBody(body_);
    } else if (forwarder_.hasSuspectRequests()) {
        const auto time = forwarder_.quarantineTime(*fingerprint());
        if (time) {
            quarantineTime_ = *time;
            fail(failure(ErrorKind::RequestQuarantined, "servers ended during this request"));
            return;
        }
    }
    if (!startNextAttempt()) {
        const bool isPathLost = forwarder_.isPathLost(service_);
        fail(isPathLost ? failure(ErrorKind::ServersUnreachable, "the servers cannot be reached")
                        : failure(ErrorKind::NoBackendServer,
                                  "no backend server could answer in time"));
    }
}

bool ForwardedRequest::needsWholeBody() const
{
    return isBodyStreamed_ && forwarder_.quarantine().hasLongRequest(makeHasher().result().low_);
}

RequestHasher ForwardedRequest::makeHasher() const
{
    const HttpHead &head = exchange_->head();
    RequestHasher hasher(forwarder_.settings().fingerprintSeed_);
    hasher.addHeadPart(head.method_);
    hasher.addHeadPart(route_->host_);
    hasher.addHeadPart(head.target_);
    hasher.addHeadPart(head.headers_.find(forwarder_.settings().headers_.caller_).value_or(""));
    return hasher;
}

std::optional<RequestFingerprint> ForwardedRequest::fingerprint()
{
    if (!fingerprint_ && !isBodyStreamed_) {
        RequestHasher hasher = makeHasher();
        hasher.addBody(body_);
        fingerprint_ = hasher.result();
    } else if (!fingerprint_ && isRequestComplete()) {
        fingerprint_ = bodyHasher_->result();
    }
    return fingerprint_;
}

int ForwardedRequest::crashCount()
{
    const auto request = forwarder_.hasSuspectRequests() ? fingerprint() : std::nullopt;
    return request ? forwarder_.crashCount(*request) : 0;
}

void ForwardedRequest::recordBrokenConnection(const ForwardAttempt &attempt)
{
    const auto request = fingerprint();
    const ListedBackend &server = attempt.server().listed();
    if (!request || server.isInstance_) {
        return;
    }
    const TimePoint now = forwarder_.loop().now();
    CrashHistory crash;
    crash.request_ = *request;
    crash.longRequestHead_ = isBodyStreamed_ ? makeHasher().result().low_ : 0;
    crash.crashes_.push_back({ server.id_, server.incarnation_, now - attempt.elapsed(), now });
    forwarder_.recordBrokenConnection(attempt.sharedServer(), std::move(crash));
}

void ForwardedRequest::recordAnswered()
{
    const auto request = forwarder_.hasSuspectRequests() ? fingerprint() : std::nullopt;
    if (request) {
        forwarder_.recordAnswered(*request);
    }
}

TimePoint ForwardedRequest::endTime() const
{
    return std::min(deadline_, forwarder_.stopTime().value_or(deadline_));
}

void ForwardedRequest::scheduleEnd()
{
    const Duration left = endTime() - forwarder_.loop().now();
    endTimer_ = forwarder_.loop().callAfter(std::max(left, Duration::zero()),
                                            [this] { handleEndTime(); });
}

void ForwardedRequest::applyStopTime()
{
    if (endTimer_ != nullptr) {
        scheduleEnd();
    }
}

bool ForwardedRequest::findRoute()
{
    if (routes_ == nullptr) {
        fail(failure(ErrorKind::RulesNotInForce, "no configuration has been read yet"));
        return false;
    }
    const HttpHead &head = exchange_->head();
    route_ = routes_->find(head.headers_.find("Host").value_or(""), pathOf(head.target_));
    if (route_ == nullptr) {
        fail(failure(ErrorKind::NoRoute, "no route matches host and path"));
        return false;
    }
    return true;
}

bool ForwardedRequest::readDeadline()
{
    deadline_ = exchange_->arrivedAt() + route_->timeout_;
    const auto text = exchange_->head().headers_.find(forwarder_.settings().headers_.deadline_);
    if (!text) {
        return true;
    }
    const auto left = parseMilliseconds(*text);
    if (!left) {
        fail(failure(ErrorKind::BadRequest, "the deadline is not a number of milliseconds"));
        return false;
    }
    deadline_ = std::min(deadline_, exchange_->arrivedAt() + *left);
    return true;
}

bool ForwardedRequest::readSender()
{
    const auto value = exchange_->head().headers_.find(peerField);
    const std::string &token = forwarder_.settings().fleetToken_;
    if (!value || token.empty() || value->size() < token.size()
        || !isEqualInConstantTime(value->substr(0, token.size()), token)) {
        return false;
    }
    applyLeavingServers(exchange_->head().headers_);
    // The sender has divided its requests between the services of the route.
    const std::string service = value->substr(token.size());
    const auto share = std::find_if(
            route_->shares_.begin(), route_->shares_.end(),
            [&service](const auto &entry) { return entry.service_.value() == service; });
    service_ = share == route_->shares_.end() ? forwarder_.chooseService(*route_) : share->service_;
    return true;
}

void ForwardedRequest::applyLeavingServers(const HttpHeaders &headers)
{
    std::istringstream entries(headers.find(leavingServersField).value_or(""));
    std::string entry;
    while (entries >> entry) {
        const std::size_t colon = entry.rfind(':');
        std::int64_t incarnation = 0;
        const char *end = entry.data() + entry.size();
        if (colon != std::string::npos
            && std::from_chars(entry.data() + colon + 1, end, incarnation).ptr == end) {
            forwarder_.applyReportedLeaving(BackendServerId(entry.substr(0, colon)), incarnation);
        }
    }
}

bool ForwardedRequest::readRequestBody()
{
    isBodyStreamed_ = !exchange_->isBodyComplete();
    body_ = exchange_->takeBody();
    receivedBytes_ = body_.size();
    const std::uint64_t limit = routes_->limits().bodyBytes_;
    if (exchange_->head().length_ > limit || receivedBytes_ > limit) {
        fail(failure(ErrorKind::RequestTooLarge, "the body is too large"));
        return false;
    }
    return true;
}

HttpHead ForwardedRequest::makeRequestHead(const Backend &server) const
{
    const ForwardHeaders &names = forwarder_.settings().headers_;
    HttpHead head = exchange_->head();
    removeFieldsOfConnection(head.headers_);
    head.headers_.remove("Expect");
    const Duration left = endTime() - forwarder_.loop().now();
    head.headers_.set(names.deadline_,
                      std::to_string(std::max<std::int64_t>(1, toMilliseconds(left))));
    head.headers_.remove(peerField);
    head.headers_.remove(leavingServersField);
    if (server.listed().isInstance_) {
        head.headers_.set(peerField, forwarder_.settings().fleetToken_ + service_.value());
        // The peer may have started since, and know of none.
        std::string leaving;
        for (const auto &other : forwarder_.backends().serversOf(service_)) {
            leaving += other->isLeaving() ? formatLeaving(*other) + " " : "";
        }
        if (!leaving.empty()) {
            leaving.pop_back();
            head.headers_.set(leavingServersField, leaving);
        }
    } else {
        head.headers_.set(names.expectServer_, server.listed().id_.value());
    }
    head.isKeptAlive_ = true;
    if (!isBodyStreamed_ && head.framing_ != BodyFraming::None) {
        head.framing_ = BodyFraming::Length;
        head.length_ = body_.size();
    }
    return head;
}

std::string ForwardedRequest::takeStreamedBody()
{
    if (!isBodyStreamed_ || exchange_->body().empty()) {
        return {};
    }
    std::string data = exchange_->takeBody();
    receivedBytes_ += data.size();
    bodyHasher_->addBody(data);
    return data;
}

bool ForwardedRequest::isRequestComplete() const
{
    return exchange_->isBodyComplete() && exchange_->body().empty();
}

void ForwardedRequest::takeMoreBody()
{
    if (routes_ == nullptr) {
        return; // The request is deferred; start() takes the body received so far.
    }
    if (receivedBytes_ + exchange_->body().size() > routes_->limits().bodyBytes_) {
        fail(failure(ErrorKind::RequestTooLarge, "the body is too large"));
        return;
    }
    if (!isBodyAwaited_ || isEnded_) {
        sendMoreBody();
        return;
    }
    body_ += exchange_->takeBody();
    receivedBytes_ = body_.size();
    isBodyStreamed_ = !exchange_->isBodyComplete();
    isBodyAwaited_ = isBodyStreamed_ && body_.size() < maxAwaitedBodyBytes;
    if (!isBodyAwaited_) {
        place();
    }
}

void ForwardedRequest::sendMoreBody()
{
    for (const auto &attempt : attempts_) {
        if (!attempt->isEnded() && attempt->unsentBytes() < maxUnsentBytes) {
            attempt->continueBody();
        }
    }
}

std::vector<PlacementCandidate> ForwardedRequest::makeCandidates() const
{
    const TimePoint now = forwarder_.loop().now();
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(candidateServers_.size());
    for (const auto &server : candidateServers_) {
        PlacementCandidate candidate;
        candidate.distance_ =
                distanceBetween(forwarder_.settings().location_, server->listed().location_);
        candidate.state_ = server->health().state(now);
        candidate.ejectedUntil_ = server->health().ejectedUntil();
        candidate.ejectedSince_ = server->health().ejectedSince();
        candidate.lastSent_ = server->lastSent();
        candidate.serverRole_ =
                server->listed().isInstance_ ? ServerRole::None : forwarder_.serverRole(*server);
        candidate.slots_ = server->listed().slots_;
        candidate.inFlight_ = server->inFlight();
        candidate.relativeLatency_ = server->health().relativeLatency();
        candidate.oldestRequestAge_ = server->oldestRequestAge(now);
        candidate.isRateLimited_ = !server->rateLimit().canSend(now);
        candidate.wasAttempted_ =
                std::any_of(attempts_.begin(), attempts_.end(), [&server](const auto &attempt) {
                    return &attempt->server() == server.get();
                });
        candidates.push_back(candidate);
    }
    return candidates;
}

PlacementRequest ForwardedRequest::makePlacementRequest()
{
    PlacementRequest request;
    request.isRepeatable_ = route_->isRepeatable_;
    request.target_ = route_->target_;
    request.timeLeft_ = endTime() - forwarder_.loop().now();
    const RouteLatency &latency = forwarder_.latency(service_, *route_);
    request.expectedLatency_ = latency.mean();
    request.isCongested_ = latency.isCongested();
    if (!latency.hasEnoughSamples()) {
        // An assumed response time must not be a reason to reject the request.
        request.expectedLatency_ = std::min(request.expectedLatency_, request.timeLeft_ / 2);
    }
    request.shouldSpread_ =
            forwarder_.failureRateTracker(service_).failureRate(forwarder_.loop().now())
            > spreadFailureRate;
    return request;
}

bool ForwardedRequest::startNextAttempt()
{
    const auto placement = chooseServer();
    if (placement) {
        startAttempt(*placement);
    }
    return placement.has_value();
}

bool ForwardedRequest::startRetry()
{
    const auto placement = chooseServer();
    if (!placement) {
        return false;
    }
    if (!forwarder_.allowance(service_).tryAcquire(forwarder_.loop().now())
        && !isFaultInjected(FaultPoint::BudgetIgnored)) {
        return false;
    }
    startAttempt(*placement);
    return true;
}

std::optional<Placement> ForwardedRequest::chooseServer()
{
    candidateServers_ = isFromPeer_
            ? forwarder_.candidatesForPeer(service_, route_->isRepeatable_)
            : forwarder_.candidates(service_, route_->isRepeatable_, attempts_.empty());
    return choosePlacement(makeCandidates(), makePlacementRequest(),
                           forwarder_.settings().placement_, forwarder_.loop().now());
}

void ForwardedRequest::startAttempt(const Placement &placement)
{
    attempts_.push_back(std::make_unique<ForwardAttempt>(*this, candidateServers_[placement.index_],
                                                         placement));
    scheduleHedging();
    attempts_.back()->start();
}

void ForwardedRequest::scheduleHedging()
{
    hedgingTimer_.reset();
    const auto active = std::count_if(attempts_.begin(), attempts_.end(),
                                      [](const auto &attempt) { return !attempt->isEnded(); });
    if (!route_->isRepeatable_ || isBodyStreamed_ || sentAttempts_ + active >= maxAttempts()) {
        return;
    }
    // No second attempt starts before the mean latency. @see shouldHedge
    hedgingTimer_ = forwarder_.loop().callAfter(forwarder_.latency(service_, *route_).mean(),
                                                [this] { checkHedging(); });
}

bool ForwardedRequest::hasActiveAttempt() const
{
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const auto &attempt) { return !attempt->isEnded(); });
}

HedgingCandidate ForwardedRequest::makeHedgingCandidate(const ForwardAttempt &attempt) const
{
    const TimePoint now = forwarder_.loop().now();
    const RouteLatency &latency = forwarder_.latency(service_, *route_);
    HedgingCandidate candidate;
    candidate.age_ = attempt.elapsed();
    candidate.target_ = route_->target_;
    candidate.meanLatency_ = latency.mean();
    candidate.percentile90_ = latency.percentile90();
    candidate.overdueAge_ = latency.overdueAge();
    candidate.isServerSuspect_ = attempt.server().health().state(now) != ServerHealth::State::Good;
    candidate.isCongested_ = latency.isCongested();
    candidate.usedBudgetShare_ = forwarder_.allowance(service_).usedShare(now);
    return candidate;
}

void ForwardedRequest::checkHedging()
{
    hedgingTimer_.reset();
    const auto active = std::find_if(attempts_.begin(), attempts_.end(),
                                     [](const auto &attempt) { return !attempt->isEnded(); });
    if (isEnded_ || streamingAttempt_ != nullptr || active == attempts_.end()) {
        return;
    }
    const bool isStarted =
            crashCount() == 0 && shouldHedge(makeHedgingCandidate(**active)) && startRetry();
    if (!isStarted) {
        hedgingTimer_ = forwarder_.loop().callAfter(hedgingCheckPeriod, [this] { checkHedging(); });
    }
}

bool ForwardedRequest::canRetry() const
{
    return !isEnded_ && sentAttempts_ < maxAttempts() && connectFailures_ < maxConnectFailures
            && unablePeers_ < maxUnablePeers && !(isBodyStreamed_ && sentAttempts_ > 0);
}

void ForwardedRequest::retryOrFail(const Error &error)
{
    if (hasActiveAttempt()) {
        return;
    }
    const bool isRetry = sentAttempts_ > 0;
    if (!canRetry() || crashCount() > maxCrashesForRetry
        || !(isRetry ? startRetry() : startNextAttempt())) {
        fail(error);
    }
}

std::optional<AttemptResult> ForwardedRequest::classifyPeerAnswer(
        const ForwardAttempt &attempt) const
{
    const HttpHeaders &headers = attempt.responseHead().headers_;
    const auto outcome = headers.find(outcomeField);
    if (!attempt.server().listed().isInstance_ || !outcome) {
        return std::nullopt;
    }
    if (*outcome != toString(Outcome::NotRun)) {
        return AttemptResult::ServerError;
    }
    // A server has rejected it, which counts as an attempt.
    const bool isShed = headers.find(causeField) == toString(ErrorKind::BackendShed);
    return isShed ? AttemptResult::Shed : AttemptResult::Unable;
}

void ForwardedRequest::handleUnablePeer(ForwardAttempt &attempt)
{
    endAttempt(attempt, AttemptResult::Unable,
               attempt.responseHead().headers_.find(causeField).value_or(""));
    forwarder_.recordUnable(service_, attempt.server());
    ++unablePeers_;
    if (!isBodyStreamed_) {
        --sentAttempts_; // No server got it.
    }
    retryOrFail(failure(ErrorKind::ServersUnreachable, "no instance reaches the servers"));
}

AttemptResult ForwardedRequest::classify(const ForwardAttempt &attempt) const
{
    const auto peerAnswer = classifyPeerAnswer(attempt);
    if (peerAnswer) {
        return *peerAnswer;
    }
    const ForwardHeaders &names = forwarder_.settings().headers_;
    const HttpHead &head = attempt.responseHead();
    // Without exactly one id, which is then this request's, the answer may be that to another one.
    const bool isOwn = requestId_.empty() || head.headers_.count(names.requestId_) == 1;
    const bool isMisdirected = head.status_ == statusMisdirectedRequest;
    if (isMisdirected || head.headers_.find(names.notRun_)) {
        // A server that did not run a request has signed no answer to it.
        if (!isOwn || head.headers_.find(names.seal_)) {
            return AttemptResult::Cut;
        }
        return isMisdirected ? AttemptResult::WrongInstance : AttemptResult::Shed;
    }
    if (!isOwn) {
        return AttemptResult::Cut;
    }
    if (head.status_ >= firstServerErrorStatus) {
        return AttemptResult::ServerError;
    }
    // A success without a signature or request id is not this server's response to this request.
    const bool isAuthentic =
            head.headers_.count(names.seal_) == 1 && head.headers_.find(names.requestId_);
    return head.status_ / 100 == successStatusClass && !isAuthentic ? AttemptResult::Cut
                                                                    : AttemptResult::Answered;
}

void ForwardedRequest::handleAttemptResponse(ForwardAttempt &attempt)
{
    if (isEnded_) {
        return;
    }
    assert(streamingAttempt_ == nullptr || isStreaming(attempt));
    if (isStreaming(attempt)) {
        recordAnswered();
        exchange_->endReply();
        endAttempt(attempt, AttemptResult::Answered, "streamed");
        finish("answered", attempt.responseHead().status_, "");
        return;
    }
    const AttemptResult result = classify(attempt);
    const std::string status = std::to_string(attempt.responseHead().status_);
    switch (result) {
    case AttemptResult::Answered:
        recordAnswered();
        sendResponse(attempt);
        return;
    case AttemptResult::ServerError:
        mayHaveRun_ = true;
        endAttempt(attempt, result, status);
        if (route_->isRepeatable_ && (hasActiveAttempt() || (canRetry() && startRetry()))) {
            return;
        }
        sendResponse(attempt);
        return;
    case AttemptResult::Unable:
        handleUnablePeer(attempt);
        return;
    case AttemptResult::Shed:
    case AttemptResult::WrongInstance:
        endAttempt(attempt, result, status);
        retryOrFail(failure(ErrorKind::BackendShed, "the backend servers are full"));
        return;
    default:
        mayHaveRun_ = true;
        endAttempt(attempt, result, "invalid response");
        if (route_->isRepeatable_) {
            retryOrFail(failure(ErrorKind::BackendCut, "the answer was no proper one"));
        } else {
            fail(failure(ErrorKind::BackendCut, "the answer was no proper one"));
        }
    }
}

void ForwardedRequest::handleAttemptFailure(ForwardAttempt &attempt, const Error &error)
{
    if (isEnded_) {
        return;
    }
    const bool isHandedOver = attempt.isHandedOver();
    const AttemptResult sentResult =
            error.kind_ == ErrorKind::BackendTimeout ? AttemptResult::Silent : AttemptResult::Cut;
    endAttempt(attempt, isHandedOver ? sentResult : AttemptResult::ConnectFailed, error.message_);
    if (error.kind_ == ErrorKind::BackendCut && isHandedOver) {
        recordBrokenConnection(attempt);
    }
    if (isStreaming(attempt)) {
        cutResponse(sentResult, error.message_);
        return;
    }
    if (!isHandedOver) {
        ++connectFailures_;
        retryOrFail(failure(ErrorKind::BackendConnectFailed, error.message_));
        return;
    }
    mayHaveRun_ = true;
    if (route_->isRepeatable_ || isFaultInjected(FaultPoint::OnceResent)) {
        retryOrFail(error);
    } else {
        fail(error);
    }
}

bool ForwardedRequest::startStreaming(ForwardAttempt &attempt)
{
    if (streamingAttempt_ != nullptr || isEnded_ || classify(attempt) != AttemptResult::Answered) {
        return false;
    }
    streamingAttempt_ = &attempt;
    hedgingTimer_.reset();
    endActiveAttempts(AttemptResult::Overtaken, &attempt);
    HttpHead head = makeResponseHead(attempt);
    if (head.framing_ == BodyFraming::UntilClose) {
        head.framing_ = BodyFraming::Chunked;
    }
    exchange_->startReply(std::move(head));
    return true;
}

HttpHead ForwardedRequest::makeResponseHead(const ForwardAttempt &attempt) const
{
    HttpHead head = attempt.responseHead();
    if (!classifyPeerAnswer(attempt)) {
        // Only instances make promises by these fields.
        head.headers_.remove(outcomeField);
        head.headers_.remove(causeField);
    }
    head.headers_.remove(leavingServersField);
    if (isFromPeer_ && attempt.server().isLeaving()) {
        head.headers_.set(leavingServersField, formatLeaving(attempt.server()));
    }
    return head;
}

void ForwardedRequest::streamResponse(ForwardAttempt &attempt, std::string_view data)
{
    streamedBytes_ += data.size();
    exchange_->sendBody(data);
    if (exchange_->unsentBytes() > maxUnsentBytes) {
        attempt.setReading(false);
    }
}

void ForwardedRequest::takeDrained()
{
    if (streamingAttempt_ != nullptr && !isEnded_) {
        streamingAttempt_->setReading(true);
    }
}

void ForwardedRequest::sendResponse(ForwardAttempt &attempt)
{
    HttpHead head = makeResponseHead(attempt);
    const int status = head.status_;
    if (head.framing_ == BodyFraming::None) {
        exchange_->startReply(std::move(head));
        exchange_->endReply();
    } else {
        exchange_->reply(std::move(head), attempt.responseBody());
    }
    if (!attempt.isEnded()) {
        endAttempt(attempt, classify(attempt), std::to_string(status));
    }
    endActiveAttempts(AttemptResult::Overtaken);
    finish("answered", status, "");
}

void ForwardedRequest::handleEndTime()
{
    if (isEnded_) {
        return;
    }
    // Servers are not to blame for a stop of this instance, nor for a caller that reads slowly.
    const bool isStop = endTime() < deadline_;
    const bool isCallerSlow = streamingAttempt_ != nullptr && exchange_->unsentBytes() > 0;
    const AttemptResult result =
            isStop || isCallerSlow ? AttemptResult::Cancelled : AttemptResult::TimedOut;
    if (streamingAttempt_ != nullptr) {
        cutResponse(result,
                    isStop ? "this instance stops before the response is complete"
                           : "the response was not complete in the time that the request had");
        return;
    }
    bool isAnySent = false;
    for (const auto &attempt : attempts_) {
        isAnySent = isAnySent || (!attempt->isEnded() && attempt->isHandedOver());
    }
    mayHaveRun_ = mayHaveRun_ || isAnySent;
    endActiveAttempts(result);
    if (!isStop) {
        fail(failure(ErrorKind::BackendTimeout, "no answer in the time that the request had"));
        return;
    }
    fail(failure(mayHaveRun_ ? ErrorKind::BackendTimeout : ErrorKind::Draining,
                 "this instance stops before the response is complete"));
}

void ForwardedRequest::takeCallerGone()
{
    if (isEnded_) {
        return;
    }
    for (const auto &attempt : attempts_) {
        if (!attempt->isEnded()) {
            const bool isOverdue = attempt->isHandedOver()
                    && attempt->elapsed() > forwarder_.latency(service_, *route_).overdueAge();
            endAttempt(*attempt, isOverdue ? AttemptResult::TimedOut : AttemptResult::Cancelled,
                       "");
        }
    }
    finish("caller-gone", 0, "the caller closed its connection");
}

void ForwardedRequest::endAttempt(ForwardAttempt &attempt, AttemptResult result,
                                  const std::string &detail)
{
    const bool isSent = attempt.isHandedOver();
    sentAttempts_ += isSent ? 1 : 0;
    attemptLog_.push_back({ { "server", attempt.server().listed().id_.value() },
                            { "distance",
                              toString(distanceBetween(forwarder_.settings().location_,
                                                       attempt.server().listed().location_)) },
                            { "trial", attempt.placement().isTrial_ },
                            { "expected_ms", toMilliseconds(attempt.placement().expectedLatency_) },
                            { "in_flight", attempt.server().inFlight() },
                            { "sent", isSent },
                            { "took_ms", toMilliseconds(attempt.elapsed()) },
                            { "result", toString(result) },
                            { "detail", detail } });
    attempt.finish(result);
}

void ForwardedRequest::endActiveAttempts(AttemptResult result, const ForwardAttempt *except)
{
    for (const auto &attempt : attempts_) {
        if (attempt.get() != except && !attempt->isEnded()) {
            endAttempt(*attempt, attempt->isHandedOver() ? result : AttemptResult::Cancelled, "");
        }
    }
}

Duration ForwardedRequest::retryAfter(ErrorKind kind)
{
    if (kind == ErrorKind::Draining) {
        return Duration::zero(); // Another instance takes the request at once.
    }
    if (kind == ErrorKind::RequestQuarantined) {
        return quarantineTime_;
    }
    Duration wait = minRetryAfter;
    if (route_ != nullptr) {
        wait = std::max({ wait, forwarder_.latency(service_, *route_).mean(),
                          forwarder_.reserveReturn(service_, candidateServers_, maxRetryAfter) });
    }
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    return std::min(scaled(wait, spread(forwarder_.random())), maxRetryAfter);
}

void ForwardedRequest::cutResponse(AttemptResult result, const std::string &cause)
{
    endActiveAttempts(result);
    exchange_->cut();
    finish("cut", 0, cause);
}

void ForwardedRequest::fail(const Error &error)
{
    if (streamingAttempt_ != nullptr) {
        cutResponse(AttemptResult::Cancelled, error.message_);
        return;
    }
    endActiveAttempts(AttemptResult::Cancelled);
    const bool isNotRun = !mayHaveRun_ || isFaultInjected(FaultPoint::NotRunGuessed);
    ErrorKind kind = error.kind_;
    if (isNotRun && kind == ErrorKind::BackendTimeout) {
        kind = ErrorKind::DeadlineUnreachable;
    } else if (!isNotRun && answerOf(kind).outcome_ == Outcome::NotRun) {
        kind = ErrorKind::BackendCut;
    }
    HttpHead head;
    head.status_ = answerOf(kind).httpStatus_;
    head.headers_.add(outcomeField,
                      std::string(toString(isNotRun ? Outcome::NotRun : Outcome::Unknown)));
    head.headers_.add(causeField, std::string(toString(kind)));
    constexpr int statusUnavailable = 503;
    if (head.status_ == statusUnavailable) {
        head.headers_.add("Retry-After", formatSeconds(retryAfter(kind)));
    }
    const int status = head.status_;
    exchange_->reply(std::move(head), error.message_ + "\n");
    finish(isNotRun ? "not-run" : "unknown", status,
           std::string(toString(kind)) + ": " + error.message_);
}

void ForwardedRequest::finish(const std::string &outcome, int status, const std::string &cause)
{
    isEnded_ = true;
    endTimer_.reset();
    hedgingTimer_.reset();
    const std::size_t unsentBytes = exchange_->unsentBytes();
    const Duration elapsed = forwarder_.loop().now() - exchange_->arrivedAt();
    forwarder_.metrics().countRequest(service_.value(), outcome, elapsed);
    const bool isSuccess = outcome == "answered" && status < firstServerErrorStatus;
    // A failed trial says nothing about the servers in use and must not cause more trials.
    const bool isFailedTrial =
            !isSuccess && !attempts_.empty() && attempts_.back()->placement().isTrial_;
    if (route_ != nullptr && outcome != "caller-gone" && !isFailedTrial) {
        forwarder_.failureRateTracker(service_).record(isSuccess, forwarder_.loop().now());
    }
    if (isLogged(LogLevel::Info)) {
        // The log limits the lines of each event. Separate events keep many successful requests
        // from suppressing the lines about failed ones.
        const RequestRoute unknown;
        const RequestRoute &route = route_ == nullptr ? unknown : *route_;
        const nlohmann::json stopIn = forwarder_.stopTime()
                ? nlohmann::json(toMilliseconds(*forwarder_.stopTime() - forwarder_.loop().now()))
                : nlohmann::json();
        log(LogLevel::Info, isSuccess ? "request-answered" : "request-failed",
            { { "request", requestId_ },
              { "route", route.name_ },
              { "repeatable", route.isRepeatable_ },
              { "priority", route.priority_ },
              { "target_ms", toMilliseconds(route.target_) },
              { "timeout_ms", toMilliseconds(deadline_ - exchange_->arrivedAt()) },
              { "body_framing", toString(exchange_->head().framing_) },
              { "body_bytes", receivedBytes_ },
              { "service", service_.value() },
              { "config_version", routes_ == nullptr ? 0 : routes_->version() },
              { "servers_listed", candidateServers_.size() },
              { "fingerprint", fingerprint_ ? toString(*fingerprint_) : "" },
              { "tries", std::move(attemptLog_) },
              { "took_ms", toMilliseconds(elapsed) },
              { "status", status },
              { "outcome", outcome },
              { "cause", cause },
              { "streamed_bytes", streamedBytes_ },
              { "unsent_bytes", unsentBytes },
              { "stop_in_ms", stopIn } });
    }
    forwarder_.deleteLater(this);
}

} // namespace qz
