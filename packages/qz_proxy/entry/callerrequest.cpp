// One caller's request from its arrival to its answer.
#include "qz_proxy/entry/callerrequest.h"

#include "qz_core/faults/faultpoint.h"
#include "qz_core/ids/randomid.h"
#include "qz_core/logging/logger.h"
#include "qz_proxy/entry/callerreply.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace qz {

namespace {

constexpr const char *workspaceHeader = "Quetzaldale-Workspace";
constexpr const char *deadlineHeader = "Quetzaldale-Deadline-Ms";
constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
constexpr const char *defaultWorkspace = "default";
constexpr std::size_t tryLimit = 4;    ///< Tries that reached a gate, at most.
constexpr std::size_t gateChoices = 2; ///< Gates of one server that are tried.
constexpr Duration claimKeepTime = std::chrono::hours(24);

std::optional<Duration> readDeadline(const HttpHeaders &headers)
{
    const auto text = headers.find(deadlineHeader);
    if (!text) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    constexpr std::int64_t highest = 3'600'000;
    if (error != std::errc() || end != text->data() + text->size() || value < 1
        || value > highest) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

/// Whether a failed try cost nobody any work, so that the next one needs no retry token.
bool isFree(ErrorKind kind)
{
    return kind == ErrorKind::GateUnreachable || kind == ErrorKind::NotTheGate
            || kind == ErrorKind::Draining;
}

} // namespace

void CallerRequest::start(const EntryContext &parts, std::shared_ptr<HttpExchange> exchange)
{
    const auto run = std::make_shared<CallerRequest>(parts, std::move(exchange));
    run->exchange_->setCallerGoneHandler([weak = std::weak_ptr<CallerRequest>(run)] {
        if (const auto locked = weak.lock()) {
            locked->cancel();
        }
    });
    run->begin();
}

CallerRequest::CallerRequest(const EntryContext &parts, std::shared_ptr<HttpExchange> exchange)
    : parts_(parts)
    , exchange_(std::move(exchange))
    , arrivedAt_(parts.loop_.now())
    , rules_(parts.fleetState_.rules())
{
    record_.id_ = RequestId(makeRandomId());
    record_.rulesVersion_ = parts.fleetState_.rulesVersion();
    const HttpHeaders &headers = exchange_->request().headers_;
    record_.workspace_ = WorkspaceId(headers.find(workspaceHeader).value_or(defaultWorkspace));
    record_.callerRequestId_ = RequestId(headers.find(replyheader::callerRequestId).value_or(""));
}

void CallerRequest::begin()
{
    if (!parts_.fleetState_.isInForce()) {
        fail({ ErrorKind::RulesNotInForce, "this instance cannot tell which rules are in force" });
        return;
    }
    if (!classify()) {
        return;
    }
    if (kind_->repeatable_ || isFaultInjected(FaultPoint::ClaimSkipped)) {
        tryNext();
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
        const auto asked = readDeadline(request.headers_);
        if (!asked) {
            fail({ ErrorKind::BadRequest, std::string(deadlineHeader) + " must be 1 to 3600000" });
            return false;
        }
        limit = std::min(limit, *asked);
    }
    deadline_ = arrivedAt_ + limit;
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
    parts_.claims_.claim(record_.workspace_, IdempotencyKey(*key), claimKeepTime,
                         [self](Result<ClaimGrant> grant) {
                             if (grant.has_error()) {
                                 self->fail(grant.error());
                                 return;
                             }
                             self->grant_ = std::move(grant.value());
                             self->deadline_ = std::min(self->deadline_, self->grant_->sendBefore_);
                             self->tryNext();
                         });
}

void CallerRequest::tryNext()
{
    if (isCallerGone_) {
        fail({ ErrorKind::CallerGone, "the caller has gone" });
        return;
    }
    if (parts_.loop_.now() >= deadline_) {
        fail({ ErrorKind::DeadlineExpiredInQueue, "time was up before a try" });
        return;
    }
    const auto candidates = findCandidates();
    ServerRequest request;
    request.origin_ = parts_.fleetState_.self().location_;
    request.rank_ = kind_->rank_;
    request.target_ = arrivedAt_ + rules_->ranks()[kind_->rank_].target_ - parts_.loop_.now();
    if (!candidates.empty()) {
        request.expectedServiceTime_ =
                parts_.loadReports_.expectedServiceTime(candidates.front().id_);
    }
    const auto chosen = parts_.chooser_.choose(candidates, request, parts_.random_);
    if (chosen) {
        const BackendServerId server = candidates[*chosen].id_;
        if (const auto gate = gateFor(server)) {
            dispatch(server, *gate);
            return;
        }
    }
    if (!triedServers_.empty() && gateChoice_ + 1 < gateChoices) {
        triedServers_.clear();
        ++gateChoice_;
        tryNext();
        return;
    }
    fail({ ErrorKind::NoBackendServer, "no backend server of this kind can be reached" });
}

std::vector<ServerCandidate> CallerRequest::findCandidates() const
{
    // A newer rule set may be in force by now; its servers count, with the kind's name.
    std::vector<ServerCandidate> candidates;
    for (const auto &server : parts_.fleetState_.directory().serversFor(*kind_)) {
        if (server->isLeaving() || triedServers_.count(server->listed_.id_) > 0) {
            continue;
        }
        ServerCandidate candidate;
        candidate.id_ = server->listed_.id_;
        candidate.location_ = server->listed_.location_;
        parts_.loadReports_.fillCandidate(candidate, parts_.loop_.now());
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::optional<InstanceId> CallerRequest::gateFor(const BackendServerId &server) const
{
    const auto found = parts_.fleetState_.directory().find(server);
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto &gates = parts_.fleetState_.gateMap().gatesOf(found->listed_);
    if (gateChoice_ >= gates.size()) {
        return std::nullopt;
    }
    return gates[gateChoice_];
}

ExecuteRequest CallerRequest::makeExecuteRequest(const BackendServerId &server) const
{
    const HttpRequest &request = exchange_->request();
    ExecuteRequest message;
    message.requestId_ = tryId_;
    message.server_ = server;
    message.kind_ = kind_->name_;
    message.rank_ = kind_->rank_;
    message.workspace_ = record_.workspace_;
    message.weight_ = rules_->workspaceWeight(record_.workspace_);
    message.worth_ = kind_->worth_;
    message.repeatable_ = kind_->repeatable_;
    message.timeLeft_ = deadline_ - parts_.loop_.now();
    message.method_ = request.method_;
    message.target_ = request.target_;
    message.headers_ = toFields(request.headers_);
    message.body_ = request.body_;
    return message;
}

void CallerRequest::dispatch(const BackendServerId &server, const InstanceId &gate)
{
    triedServers_.insert(server);
    tryId_ = RequestId(record_.id_.value() + "-" + std::to_string(record_.attempts_.size() + 1));
    record_.attempts_.push_back({ server, gate, {}, {} });
    const TimePoint sentAt = parts_.loop_.now();
    parts_.dispatcher_.dispatch(gate, makeExecuteRequest(server),
                                [self = shared_from_this(), sentAt](ExecuteAnswer answer) {
                                    self->takeAnswer(std::move(answer), sentAt);
                                });
}

void CallerRequest::takeAnswer(ExecuteAnswer answer, TimePoint sentAt)
{
    RequestAttempt &last = record_.attempts_.back();
    last.took_ = parts_.loop_.now() - sentAt;
    last.result_ = answer.errorKind_.empty() ? "answered" : answer.errorKind_;
    if (answer.loadReport_.slots_ > 0 && !answer.loadReport_.waitByRank_.empty()) {
        parts_.loadReports_.record(answer.server_, answer.loadReport_, parts_.loop_.now());
    }
    auto result = toResult(std::move(answer));
    if (result.has_value()) {
        succeed(std::move(result.value()));
    } else if (mayRetry(result.error())) {
        tryNext();
    } else {
        fail(result.error());
    }
}

bool CallerRequest::mayRetry(const Error &error)
{
    const ErrorAnswer &meaning = answerOf(error.kind_);
    const bool isUnknown = meaning.outcome_ == Outcome::Unknown;
    isUnknown_ = isUnknown_ || isUnknown;
    const bool isAllowed = isUnknown ? kind_->repeatable_ : meaning.retryInFleet_;
    if (!isAllowed || isCallerGone_ || record_.attempts_.size() >= tryLimit) {
        return false;
    }
    return isFree(error.kind_) || parts_.retries_.tryAcquire(parts_.loop_.now());
}

void CallerRequest::cancel()
{
    isCallerGone_ = true;
    if (!tryId_.isEmpty()) {
        parts_.dispatcher_.cancel(tryId_);
    }
}

void CallerRequest::fail(const Error &error)
{
    const Outcome outcome = isUnknown_ ? Outcome::Unknown : answerOf(error.kind_).outcome_;
    settle(outcome == Outcome::NotRun ? ClaimResult::NotRun : ClaimResult::Unknown);
    record_.cause_ = toString(error.kind_);
    record_.message_ = error.message_;
    record(outcome);
    exchange_->reply(makeErrorReply(error.kind_, record_, parts_.fleetState_.self().id_));
}

void CallerRequest::succeed(HttpResponse response)
{
    settle(ClaimResult::Ran);
    parts_.retries_.recordSuccess();
    record(Outcome::Answered);
    exchange_->reply(
            makeAnsweredReply(std::move(response), record_, parts_.fleetState_.self().id_));
}

void CallerRequest::record(Outcome outcome)
{
    record_.outcome_ = toString(outcome);
    record_.took_ = parts_.loop_.now() - arrivedAt_;
    const LogLevel level = outcome == Outcome::Answered ? LogLevel::Debug : LogLevel::Info;
    if (isLogged(level)) {
        log(level, "request", record_.toJson());
    }
    parts_.metrics_.record(record_);
    parts_.journal_.add(record_);
}

void CallerRequest::settle(ClaimResult result)
{
    if (grant_) {
        parts_.claims_.settle(*grant_, result);
        grant_.reset();
    }
}

} // namespace qz
