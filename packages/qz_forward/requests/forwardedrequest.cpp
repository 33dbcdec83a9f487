// The course of one request.
#include "qz_forward/requests/forwardedrequest.h"

#include "qz_core/faults/faultpoint.h"
#include "qz_core/logging/logger.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr int firstFailureStatus = 500;
constexpr int statusMisdirected = 421;
constexpr int successClass = 2;
constexpr int connectFailureLimit = 4; ///< Servers that could not be reached, for one request.
/// Bytes of a body that wait for a slow receiver before reading pauses.
constexpr std::size_t backlogBytes = std::size_t(256) * 1024;
/// A second try while the first is silent leaves this part of the budget for failures.
constexpr double earlyTryBudgetPart = 0.5;
/// A second try starts after a high quantile of the answer times, within these parts of the
/// target time.
constexpr double earliestSecondTry = 0.3;
constexpr double latestSecondTry = 0.75;
/// Bounds of what a refused caller is told to wait.
constexpr Duration shortestRetryAfter = 200ms;
constexpr Duration longestRetryAfter = 3s;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
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
    isEnded_ = true; // Tries that end now must not go on with the request.
}

void ForwardedRequest::start()
{
    routes_ = forwarder_.routes();
    const auto id = exchange_->head().headers_.find(forwarder_.settings().headers_.requestId_);
    requestId_ = id.value_or("");
    if (!findRoute() || !readDeadline() || !takeRequestBody()) {
        return;
    }
    service_ = forwarder_.chooseService(*route_);
    forwarder_.allowance(service_).countRequest(forwarder_.loop().now());
    const Duration left = deadline_ - forwarder_.loop().now();
    deadlineTimer_ =
            forwarder_.loop().callAfter(std::max(left, Duration::zero()), [this] { expire(); });
    if (!placeNext()) {
        fail(failure(ErrorKind::NoBackendServer, "no backend server could answer in time"));
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

bool ForwardedRequest::takeRequestBody()
{
    isBodyStreamed_ = !exchange_->isBodyComplete();
    body_ = exchange_->takeBody();
    streamedBytes_ = body_.size();
    const std::uint64_t limit = routes_->limits().bodyBytes_;
    if (exchange_->head().length_ > limit || streamedBytes_ > limit) {
        fail(failure(ErrorKind::RequestTooLarge, "the body is too large"));
        return false;
    }
    return true;
}

HttpHead ForwardedRequest::makeRequestHead(const Backend &server) const
{
    const ForwardHeaders &names = forwarder_.settings().headers_;
    HttpHead head = exchange_->head();
    if (const auto connection = head.headers_.find("Connection")) {
        head.headers_.remove(*connection); // A field that it names is for one connection only.
    }
    head.headers_.remove("Expect");
    const Duration left = deadline_ - forwarder_.loop().now();
    head.headers_.set(names.deadline_,
                      std::to_string(std::max<std::int64_t>(1, toMilliseconds(left))));
    head.headers_.set(names.expectServer_, server.listed().id_.value());
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
    streamedBytes_ += data.size();
    return data;
}

bool ForwardedRequest::isRequestComplete() const
{
    return exchange_->isBodyComplete() && exchange_->body().empty();
}

void ForwardedRequest::takeMoreBody()
{
    if (routes_ == nullptr) {
        return; // It waits to be started, which takes the body as far as it is here then.
    }
    if (streamedBytes_ + exchange_->body().size() > routes_->limits().bodyBytes_) {
        fail(failure(ErrorKind::RequestTooLarge, "the body is too large"));
        return;
    }
    sendMoreBody();
}

void ForwardedRequest::sendMoreBody()
{
    for (const auto &attempt : tries_) {
        if (!attempt->isEnded() && attempt->unsentBytes() < backlogBytes) {
            attempt->continueBody();
        }
    }
}

std::vector<PlacementCandidate> ForwardedRequest::makeCandidates() const
{
    const TimePoint now = forwarder_.loop().now();
    const Duration mean = forwarder_.latency(service_).mean(route_->target_);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(servers_.size());
    for (const auto &server : servers_) {
        PlacementCandidate candidate;
        candidate.distance_ =
                distanceBetween(forwarder_.settings().location_, server->listed().location_);
        candidate.state_ = server->health().state(now);
        candidate.ejectedUntil_ = server->health().ejectedUntil();
        candidate.ejectedSince_ = server->health().ejectedSince();
        candidate.lastSent_ = server->lastSent();
        candidate.serverRole_ = forwarder_.serverRole(*server);
        candidate.slots_ = server->listed().slots_;
        candidate.inFlight_ = server->inFlight();
        candidate.relativeLatency_ = server->health().relativeLatency(mean);
        candidate.oldestRequestAge_ = server->oldestRequestAge(now);
        candidate.wasAttempted_ =
                std::any_of(tries_.begin(), tries_.end(), [&server](const auto &attempt) {
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
    request.timeLeft_ = deadline_ - forwarder_.loop().now();
    const ServiceLatency &latency = forwarder_.latency(service_);
    request.expectedLatency_ = latency.mean(route_->target_);
    if (!latency.hasEnoughSamples()) {
        // What is only assumed must not be a reason to refuse.
        request.expectedLatency_ = std::min(request.expectedLatency_, request.timeLeft_ / 2);
    }
    request.shouldSpread_ = forwarder_.servedShare(service_).failureRate(forwarder_.loop().now())
            > spreadFailureRate;
    return request;
}

std::optional<Placement> ForwardedRequest::choose()
{
    return choosePlacement(makeCandidates(), makePlacementRequest(), forwarder_.settings().costs_,
                           forwarder_.loop().now());
}

bool ForwardedRequest::placeNext()
{
    servers_.clear();
    for (const auto &server : forwarder_.backends().serversOf(service_)) {
        if (server->isOpen()) {
            servers_.push_back(server);
        }
    }
    // Instances must not all prefer the same ones.
    std::shuffle(servers_.begin(), servers_.end(), forwarder_.random());
    const auto placement = choose();
    if (!placement) {
        return false;
    }
    launch(*placement);
    return true;
}

void ForwardedRequest::launch(const Placement &placement)
{
    tries_.push_back(
            std::make_unique<ForwardAttempt>(*this, servers_[placement.index_], placement));
    armSecondTry();
    tries_.back()->start();
}

void ForwardedRequest::armSecondTry()
{
    if (!route_->isRepeatable_ || isBodyStreamed_ || sentCount_ + 1 >= route_->maxAttempts_) {
        return;
    }
    const Duration percentile90 = forwarder_.latency(service_).percentile90(route_->target_);
    const Duration delay = std::clamp(percentile90, scaled(route_->target_, earliestSecondTry),
                                      scaled(route_->target_, latestSecondTry));
    secondTryTimer_ = forwarder_.loop().callAfter(delay, [this] { trySecond(); });
}

bool ForwardedRequest::hasRunningTry() const
{
    return std::any_of(tries_.begin(), tries_.end(),
                       [](const auto &attempt) { return !attempt->isEnded(); });
}

void ForwardedRequest::trySecond()
{
    secondTryTimer_.reset();
    int running = 0;
    for (const auto &attempt : tries_) {
        running += attempt->isEnded() ? 0 : 1;
    }
    if (isEnded_ || streaming_ != nullptr || sentCount_ + running >= route_->maxAttempts_) {
        return;
    }
    const TimePoint now = forwarder_.loop().now();
    RetryAllowance &allowance = forwarder_.allowance(service_);
    if (allowance.usedShare(now) > earlyTryBudgetPart || !allowance.tryAcquire(now)) {
        return;
    }
    placeNext();
}

bool ForwardedRequest::mayTryAgain() const
{
    return !isEnded_ && sentCount_ < route_->maxAttempts_ && connectFailures_ < connectFailureLimit
            && !(isBodyStreamed_ && sentCount_ > 0);
}

void ForwardedRequest::tryAgainOrFail(const Error &error)
{
    if (hasRunningTry()) {
        return;
    }
    const bool isSecondArrival = sentCount_ > 0;
    const bool isAllowed = mayTryAgain()
            && (!isSecondArrival
                || forwarder_.allowance(service_).tryAcquire(forwarder_.loop().now()));
    if (!isAllowed || !placeNext()) {
        fail(error);
    }
}

AttemptResult ForwardedRequest::classify(const ForwardAttempt &attempt) const
{
    const ForwardHeaders &names = forwarder_.settings().headers_;
    const HttpHead &head = attempt.responseHead();
    if (head.status_ == statusMisdirected) {
        return AttemptResult::WrongInstance;
    }
    if (head.headers_.find(names.notRun_)) {
        return AttemptResult::Shed;
    }
    if (head.status_ >= firstFailureStatus) {
        return AttemptResult::ServerError;
    }
    // A success without signature or id is not this server's answer to this request.
    const bool isOwn = head.headers_.find(names.seal_) && head.headers_.find(names.requestId_);
    return head.status_ / 100 == successClass && !isOwn ? AttemptResult::Cut
                                                        : AttemptResult::Answered;
}

void ForwardedRequest::handleAttemptResponse(ForwardAttempt &attempt)
{
    if (isEnded_) {
        return;
    }
    if (isStreaming(attempt)) {
        exchange_->endReply();
        endTry(attempt, AttemptResult::Answered, "streamed");
        end("answered", attempt.responseHead().status_, "");
        return;
    }
    const AttemptResult result = classify(attempt);
    const std::string status = std::to_string(attempt.responseHead().status_);
    switch (result) {
    case AttemptResult::Answered:
        deliver(attempt);
        return;
    case AttemptResult::ServerError:
        mayHaveRun_ = true;
        if (route_->isRepeatable_ && mayTryAgain() && sentCount_ + 1 < route_->maxAttempts_
            && forwarder_.allowance(service_).tryAcquire(forwarder_.loop().now())) {
            endTry(attempt, result, status);
            if (hasRunningTry() || placeNext()) {
                return;
            }
        }
        deliver(attempt);
        return;
    case AttemptResult::Shed:
    case AttemptResult::WrongInstance:
        endTry(attempt, result, status);
        tryAgainOrFail(failure(ErrorKind::BackendShed, "the backend servers are full"));
        return;
    default:
        mayHaveRun_ = true;
        endTry(attempt, result, "no proper answer");
        if (route_->isRepeatable_) {
            tryAgainOrFail(failure(ErrorKind::BackendCut, "the answer was no proper one"));
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
    endTry(attempt, isHandedOver ? sentResult : AttemptResult::ConnectFailed, error.message_);
    if (streaming_ == &attempt) {
        exchange_->cut();
        end("cut", 0, error.message_);
        return;
    }
    if (!isHandedOver) {
        ++connectFailures_;
        tryAgainOrFail(failure(ErrorKind::BackendConnectFailed, error.message_));
        return;
    }
    mayHaveRun_ = true;
    if (route_->isRepeatable_ || isFaultInjected(FaultPoint::OnceResent)) {
        tryAgainOrFail(error);
    } else {
        fail(error);
    }
}

bool ForwardedRequest::startStreaming(ForwardAttempt &attempt)
{
    if (streaming_ != nullptr || isEnded_ || classify(attempt) != AttemptResult::Answered) {
        return false;
    }
    streaming_ = &attempt;
    secondTryTimer_.reset();
    deadlineTimer_.reset();
    HttpHead head = attempt.responseHead();
    if (head.framing_ == BodyFraming::UntilClose) {
        head.framing_ = BodyFraming::Chunked;
    }
    exchange_->startReply(std::move(head));
    return true;
}

void ForwardedRequest::streamResponse(ForwardAttempt &attempt, std::string_view data)
{
    exchange_->sendBody(data);
    if (exchange_->unsentBytes() > backlogBytes) {
        attempt.setReading(false);
    }
}

void ForwardedRequest::takeDrained()
{
    if (streaming_ != nullptr && !isEnded_) {
        streaming_->setReading(true);
    }
}

void ForwardedRequest::deliver(ForwardAttempt &attempt)
{
    HttpHead head = attempt.responseHead();
    const int status = head.status_;
    if (head.framing_ == BodyFraming::None) {
        exchange_->startReply(std::move(head));
        exchange_->endReply();
    } else {
        exchange_->reply(std::move(head), attempt.responseBody());
    }
    if (!attempt.isEnded()) {
        endTry(attempt, classify(attempt), std::to_string(status));
    }
    endOtherTries(AttemptResult::Overtaken);
    end("answered", status, "");
}

void ForwardedRequest::expire()
{
    if (isEnded_) {
        return;
    }
    bool isSent = false;
    for (const auto &attempt : tries_) {
        isSent = isSent || (!attempt->isEnded() && attempt->isHandedOver());
    }
    mayHaveRun_ = mayHaveRun_ || isSent;
    endOtherTries(AttemptResult::TimedOut);
    fail(failure(ErrorKind::BackendTimeout, "no answer in the time that the request had"));
}

void ForwardedRequest::takeCallerGone()
{
    if (isEnded_) {
        return;
    }
    endOtherTries(AttemptResult::Cancelled);
    end("caller-gone", 0, "the caller closed its connection");
}

void ForwardedRequest::endTry(ForwardAttempt &attempt, AttemptResult result,
                              const std::string &detail)
{
    const bool isSent = attempt.isHandedOver();
    sentCount_ += isSent ? 1 : 0;
    tryLog_.push_back({ { "server", attempt.server().listed().id_.value() },
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

void ForwardedRequest::endOtherTries(AttemptResult result)
{
    for (const auto &attempt : tries_) {
        if (!attempt->isEnded()) {
            endTry(*attempt, attempt->isHandedOver() ? result : AttemptResult::Cancelled, "");
        }
    }
}

Duration ForwardedRequest::retryAfter() const
{
    Duration wait = shortestRetryAfter;
    if (route_ != nullptr) {
        wait = std::max(wait, forwarder_.latency(service_).mean(route_->target_));
    }
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    return std::min(scaled(wait, spread(forwarder_.random())), longestRetryAfter);
}

void ForwardedRequest::fail(const Error &error)
{
    endOtherTries(AttemptResult::Cancelled);
    const bool isNotRun = !mayHaveRun_ || isFaultInjected(FaultPoint::NotRunGuessed);
    ErrorKind kind = error.kind_;
    if (isNotRun && kind == ErrorKind::BackendTimeout) {
        kind = ErrorKind::DeadlineUnreachable;
    } else if (!isNotRun && answerOf(kind).outcome_ == Outcome::NotRun) {
        kind = ErrorKind::BackendCut;
    }
    HttpHead head;
    head.status_ = answerOf(kind).httpStatus_;
    head.headers_.add("Quetzaldale-Outcome",
                      std::string(toString(isNotRun ? Outcome::NotRun : Outcome::Unknown)));
    head.headers_.add("Quetzaldale-Cause", std::string(toString(kind)));
    constexpr int statusUnavailable = 503;
    if (head.status_ == statusUnavailable) {
        head.headers_.add("Retry-After", formatSeconds(retryAfter()));
    }
    const int status = head.status_;
    exchange_->reply(std::move(head), error.message_ + "\n");
    end(isNotRun ? "not-run" : "unknown", status,
        std::string(toString(kind)) + ": " + error.message_);
}

void ForwardedRequest::end(const std::string &outcome, int status, const std::string &cause)
{
    isEnded_ = true;
    deadlineTimer_.reset();
    secondTryTimer_.reset();
    const Duration took = forwarder_.loop().now() - exchange_->arrivedAt();
    forwarder_.metrics().countRequest(service_.value(), outcome, took);
    const bool isFine = outcome == "answered" && status < firstFailureStatus;
    // A failed trial says nothing of the servers in use, and must not lead to more trials.
    const bool isLostTrial = !isFine && !tries_.empty() && tries_.back()->placement().isTrial_;
    if (route_ != nullptr && outcome != "caller-gone" && !isLostTrial) {
        forwarder_.servedShare(service_).record(isFine, forwarder_.loop().now());
    }
    if (isLogged(LogLevel::Info)) {
        // Two events, so that a flood of answered requests leaves room for the others' lines.
        log(LogLevel::Info, isFine ? "request-answered" : "request-failed",
            { { "request", requestId_ },
              { "route", route_ == nullptr ? "" : route_->name_ },
              { "service", service_.value() },
              { "config_version", routes_ == nullptr ? 0 : routes_->version() },
              { "servers_listed", servers_.size() },
              { "tries", std::move(tryLog_) },
              { "took_ms", toMilliseconds(took) },
              { "status", status },
              { "outcome", outcome },
              { "cause", cause } });
    }
    forwarder_.deleteLater(this);
}

} // namespace qz
