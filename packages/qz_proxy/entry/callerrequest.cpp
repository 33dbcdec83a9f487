// A request of a caller, from its arrival to its response.
#include "qz_proxy/entry/callerrequest.h"

#include "qz_core/faults/faultpoint.h"
#include "qz_core/ids/randomid.h"
#include "qz_core/logging/logger.h"
#include "qz_proxy/entry/callerresponse.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace qz {

namespace {

constexpr const char *workspaceHeader = "Quetzaldale-Workspace";
constexpr const char *deadlineHeader = "Quetzaldale-Deadline-Ms";
constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
constexpr const char *defaultWorkspace = "default";
constexpr std::size_t maxAttempts = 4;       ///< Attempts per request.
constexpr std::size_t maxGatesPerServer = 2; ///< Gates of one server that are used.
constexpr Duration claimRetention = std::chrono::hours(24);

/// Returns the time limit in the deadline header, or nullopt if it is missing or invalid.
std::optional<Duration> readDeadline(const HttpHeaders &headers)
{
    const auto text = headers.find(deadlineHeader);
    if (!text) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    constexpr std::int64_t maximum = 3'600'000; // One hour.
    if (error != std::errc() || end != text->data() + text->size() || value < 1
        || value > maximum) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

/// Returns whether the failed attempt caused no load, so that a retry needs no retry token.
bool isRetryFree(ErrorKind kind)
{
    return kind == ErrorKind::GateUnreachable || kind == ErrorKind::NotTheGate
            || kind == ErrorKind::Draining;
}

} // namespace

void CallerRequest::start(const EntryContext &context, std::shared_ptr<HttpExchange> exchange)
{
    const auto request = std::make_shared<CallerRequest>(context, std::move(exchange));
    request->exchange_->setCallerGoneHandler([weak = std::weak_ptr<CallerRequest>(request)] {
        if (const auto self = weak.lock()) {
            self->cancel();
        }
    });
    request->process();
}

CallerRequest::CallerRequest(const EntryContext &context, std::shared_ptr<HttpExchange> exchange)
    : context_(context)
    , exchange_(std::move(exchange))
    , arrivalTime_(context.loop_.now())
    , rules_(context.fleetState_.rules())
{
    record_.id_ = RequestId(makeRandomId());
    record_.rulesVersion_ = context.fleetState_.rulesVersion();
    const HttpHeaders &headers = exchange_->request().headers_;
    record_.workspace_ = WorkspaceId(headers.find(workspaceHeader).value_or(defaultWorkspace));
    record_.callerRequestId_ =
            RequestId(headers.find(responseheader::callerRequestId).value_or(""));
}

void CallerRequest::process()
{
    if (!context_.fleetState_.isInForce()) {
        fail({ ErrorKind::RulesNotInForce, "this instance cannot tell which rules are in force" });
        return;
    }
    if (!classify()) {
        return;
    }
    if (kind_->repeatable_ || isFaultInjected(FaultPoint::ClaimSkipped)) {
        attemptNext();
    } else {
        claim();
    }
}

bool CallerRequest::classify()
{
    const HttpRequest &request = exchange_->request();
    const std::string_view target = request.target_;
    const std::string_view path = target.substr(0, target.find('?'));
    kind_ = rules_->classify({ request.method_, path, record_.workspace_ });
    if (kind_ == nullptr) {
        fail({ ErrorKind::NoRoute, "no kind of work matches this request" });
        return false;
    }
    record_.kind_ = kind_->name_;
    record_.rank_ = rules_->ranks()[kind_->rank_].name_;
    Duration limit = kind_->deadline_;
    if (request.headers_.find(deadlineHeader)) {
        const auto requested = readDeadline(request.headers_);
        if (!requested) {
            fail({ ErrorKind::BadRequest, std::string(deadlineHeader) + " must be 1 to 3600000" });
            return false;
        }
        limit = std::min(limit, *requested);
    }
    deadline_ = arrivalTime_ + limit;
    return true;
}

void CallerRequest::claim()
{
    const auto key = exchange_->request().headers_.find(idempotencyKeyHeader);
    if (!key || key->empty()) {
        fail({ ErrorKind::IdempotencyKeyMissing, "this kind of work needs an Idempotency-Key" });
        return;
    }
    const auto self = shared_from_this();
    context_.claims_.claim(record_.workspace_, IdempotencyKey(*key), claimRetention,
                           [self](Result<ClaimGrant> grant) {
                               if (grant.has_error()) {
                                   self->fail(grant.error());
                                   return;
                               }
                               self->grant_ = std::move(grant.value());
                               self->deadline_ =
                                       std::min(self->deadline_, self->grant_->sendBefore_);
                               self->attemptNext();
                           });
}

void CallerRequest::attemptNext()
{
    if (isCallerGone_) {
        fail({ ErrorKind::CallerGone, "the caller has gone" });
        return;
    }
    if (context_.loop_.now() >= deadline_) {
        fail({ ErrorKind::DeadlineExpiredInQueue, "time was up before a try" });
        return;
    }
    const auto candidates = findCandidates();
    ServerRequest request;
    request.origin_ = context_.fleetState_.self().location_;
    request.rank_ = kind_->rank_;
    request.target_ = arrivalTime_ + rules_->ranks()[kind_->rank_].target_ - context_.loop_.now();
    if (!candidates.empty()) {
        request.expectedServiceTime_ =
                context_.loadReports_.expectedServiceTime(candidates.front().id_);
    }
    const auto chosen = context_.chooser_.choose(candidates, request, context_.random_);
    if (chosen) {
        const BackendServerId server = candidates[*chosen].id_;
        if (const auto gate = gateFor(server)) {
            dispatch(server, *gate);
            return;
        }
    }
    if (!attemptedServers_.empty() && gateIndex_ + 1 < maxGatesPerServer) {
        attemptedServers_.clear();
        ++gateIndex_;
        attemptNext();
        return;
    }
    fail({ ErrorKind::NoBackendServer, "no backend server of this kind can be reached" });
}

std::vector<ServerCandidate> CallerRequest::findCandidates() const
{
    // Servers are selected by the current rules, which may be newer than rules_, and by the name of
    // the kind.
    std::vector<ServerCandidate> candidates;
    for (const auto &server : context_.fleetState_.directory().serversFor(*kind_)) {
        if (server->isLeaving() || attemptedServers_.count(server->listed_.id_) > 0) {
            continue;
        }
        ServerCandidate candidate;
        candidate.id_ = server->listed_.id_;
        candidate.location_ = server->listed_.location_;
        context_.loadReports_.fillCandidate(candidate, context_.loop_.now());
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::optional<InstanceId> CallerRequest::gateFor(const BackendServerId &server) const
{
    const auto found = context_.fleetState_.directory().find(server);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto &gates = context_.fleetState_.gateMap().gatesOf(found->listed_);
    if (gateIndex_ >= gates.size()) {
        return std::nullopt;
    }
    return gates[gateIndex_];
}

ExecuteRequest CallerRequest::makeExecuteRequest(const BackendServerId &server) const
{
    const HttpRequest &request = exchange_->request();
    ExecuteRequest message;
    message.requestId_ = attemptId_;
    message.server_ = server;
    message.kind_ = kind_->name_;
    message.rank_ = kind_->rank_;
    message.workspace_ = record_.workspace_;
    message.weight_ = rules_->workspaceWeight(record_.workspace_);
    message.worth_ = kind_->worth_;
    message.repeatable_ = kind_->repeatable_;
    message.timeLeft_ = deadline_ - context_.loop_.now();
    message.method_ = request.method_;
    message.target_ = request.target_;
    message.headers_ = toFields(request.headers_);
    message.body_ = request.body_;
    return message;
}

void CallerRequest::dispatch(const BackendServerId &server, const InstanceId &gate)
{
    attemptedServers_.insert(server);
    attemptId_ =
            RequestId(record_.id_.value() + "-" + std::to_string(record_.attempts_.size() + 1));
    record_.attempts_.push_back({ server, gate, {}, {} });
    const TimePoint sentAt = context_.loop_.now();
    context_.dispatcher_.dispatch(gate, makeExecuteRequest(server),
                                  [self = shared_from_this(), sentAt](ExecuteAnswer answer) {
                                      self->handleAnswer(std::move(answer), sentAt);
                                  });
}

void CallerRequest::handleAnswer(ExecuteAnswer answer, TimePoint sentAt)
{
    RequestAttempt &attempt = record_.attempts_.back();
    attempt.took_ = context_.loop_.now() - sentAt;
    attempt.result_ = answer.errorKind_.empty() ? "answered" : answer.errorKind_;
    if (answer.loadReport_.slots_ > 0 && !answer.loadReport_.waitByRank_.empty()) {
        context_.loadReports_.record(answer.server_, answer.loadReport_, context_.loop_.now());
    }
    auto result = toResult(std::move(answer));
    if (result.has_value()) {
        succeed(std::move(result.value()));
    } else if (mayRetry(result.error())) {
        attemptNext();
    } else {
        fail(result.error());
    }
}

bool CallerRequest::mayRetry(const Error &error)
{
    const ErrorAnswer &answer = answerOf(error.kind_);
    const bool isUnknown = answer.outcome_ == Outcome::Unknown;
    hasUnknownOutcome_ = hasUnknownOutcome_ || isUnknown;
    const bool isAllowed = isUnknown ? kind_->repeatable_ : answer.retryInFleet_;
    if (!isAllowed || isCallerGone_ || record_.attempts_.size() >= maxAttempts) {
        return false;
    }
    return isRetryFree(error.kind_) || context_.retryBudget_.tryAcquire(context_.loop_.now());
}

void CallerRequest::cancel()
{
    isCallerGone_ = true;
    if (!attemptId_.isEmpty()) {
        context_.dispatcher_.cancel(attemptId_);
    }
}

void CallerRequest::fail(const Error &error)
{
    const Outcome outcome = hasUnknownOutcome_ ? Outcome::Unknown : answerOf(error.kind_).outcome_;
    reportClaimResult(outcome == Outcome::NotRun ? ClaimResult::NotRun : ClaimResult::Unknown);
    record_.cause_ = toString(error.kind_);
    record_.message_ = error.message_;
    recordOutcome(outcome);
    exchange_->reply(makeErrorResponse(error.kind_, record_, context_.fleetState_.self().id_));
}

void CallerRequest::succeed(HttpResponse response)
{
    reportClaimResult(ClaimResult::Ran);
    context_.retryBudget_.recordSuccess();
    recordOutcome(Outcome::Answered);
    exchange_->reply(
            makeSuccessResponse(std::move(response), record_, context_.fleetState_.self().id_));
}

void CallerRequest::recordOutcome(Outcome outcome)
{
    record_.outcome_ = toString(outcome);
    record_.took_ = context_.loop_.now() - arrivalTime_;
    const LogLevel level = outcome == Outcome::Answered ? LogLevel::Debug : LogLevel::Info;
    if (isLogged(level)) {
        log(level, "request", record_.toJson());
    }
    context_.metrics_.record(record_);
    context_.journal_.add(record_);
}

void CallerRequest::reportClaimResult(ClaimResult result)
{
    if (grant_) {
        context_.claims_.reportResult(*grant_, result);
        grant_.reset();
    }
}

} // namespace qz
