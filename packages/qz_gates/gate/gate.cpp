// The gate of one backend server.
#include "qz_gates/gate/gate.h"

#include "qz_gates/gate/backendresponse.h"

#include <utility>

namespace qz {

namespace {

constexpr std::size_t maxQueuedRequests = 512;
constexpr std::size_t maxAnswerBytes = 1024UL * 1024;

HttpClientLimits makeClientLimits(const BackendServer &server)
{
    HttpClientLimits limits;
    limits.connections_ = static_cast<std::size_t>(server.listed_.slots_);
    limits.answerBytes_ = maxAnswerBytes;
    return limits;
}

AdmissionQueue makeQueue(const BackendServer &server, std::vector<RankShare> ranks)
{
    AdmissionQueue::Builder builder;
    builder.setSlots(server.listed_.slots_);
    builder.setRanks(std::move(ranks));
    builder.setMaxQueued(maxQueuedRequests);
    return builder.build();
}

AdmissionRequest makeAdmissionRequest(std::uint64_t id, const ExecuteRequest &request,
                                      TimePoint deadline)
{
    AdmissionRequest admissionRequest;
    admissionRequest.id_ = id;
    admissionRequest.rank_ = request.rank_;
    admissionRequest.workspace_ = request.workspace_;
    admissionRequest.kind_ = request.kind_;
    admissionRequest.worth_ = request.worth_;
    admissionRequest.deadline_ = deadline;
    admissionRequest.weight_ = request.weight_;
    return admissionRequest;
}

} // namespace

Gate::Gate(EventLoop &loop, const BackendServer &server, const std::vector<RankShare> &ranks)
    : loop_(loop)
    , server_(server.listed_.id_)
    , queue_(makeQueue(server, ranks))
    , connections_(loop, server.listed_.endpoint_, makeClientLimits(server))
    , rankCount_(ranks.size())
{
}

void Gate::execute(ExecuteRequest request, Done done)
{
    if (closeReason_) {
        done(makeErrorAnswer(request.requestId_, server_, { *closeReason_, "the gate is closed" }));
        return;
    }
    if (idsByRequestId_.count(request.requestId_) > 0) {
        const Error error{ ErrorKind::Internal, "a try of this id is under way" };
        done(makeErrorAnswer(request.requestId_, server_, error));
        return;
    }
    const std::uint64_t id = ++lastId_;
    const TimePoint deadline = loop_.now() + request.timeLeft_;
    const auto offered = queue_.offer(makeAdmissionRequest(id, request, deadline), loop_.now());
    idsByRequestId_[request.requestId_] = id;
    Pending pending;
    pending.request_ = std::move(request);
    pending.done_ = std::move(done);
    pending.deadline_ = deadline;
    requests_.emplace(id, std::move(pending));
    if (offered.has_error()) {
        fail(id, offered.error().kind_, offered.error().message_);
        return;
    }
    tick();
}

void Gate::cancel(const RequestId &requestId)
{
    const auto found = idsByRequestId_.find(requestId);
    if (found == idsByRequestId_.end()) {
        return;
    }
    const std::uint64_t id = found->second;
    Pending &pending = requests_.at(id);
    if (queue_.cancel(id)) {
        fail(id, ErrorKind::CallerGone, "cancelled while queued");
        return;
    }
    if (!pending.connection_ || !pending.request_.repeatable_) {
        return;
    }
    connections_.cancel(*pending.connection_);
    evidence_.discard(pending.inFlightId_);
    queue_.finish(id, loop_.now(), false);
    fail(id, ErrorKind::CallerGone, "cancelled while running");
    startQueuedRequests();
}

void Gate::tick()
{
    for (const DroppedRequest &dropped : queue_.takeDroppedRequests(loop_.now())) {
        fail(dropped.id_, dropped.kind_, "left the queue without a slot");
    }
    verdict_ = detector_.evaluate(evidence_.digest(loop_.now()), otherServers_);
    weight_.update(verdict_, loop_.now());
    startQueuedRequests();
}

void Gate::close(ErrorKind kind)
{
    closeReason_ = kind;
    std::vector<std::uint64_t> queued;
    for (const auto &[id, pending] : requests_) {
        if (!pending.connection_ && queue_.cancel(id)) {
            queued.push_back(id);
        }
    }
    for (const std::uint64_t id : queued) {
        fail(id, kind, "the gate was closed");
    }
}

void Gate::setRanks(std::vector<RankShare> ranks)
{
    rankCount_ = ranks.size();
    queue_.setRanks(std::move(ranks));
}

void Gate::setPeers(ServiceBaseline baseline, std::vector<EvidenceDigest> otherServers)
{
    evidence_.setBaseline(std::move(baseline));
    otherServers_ = std::move(otherServers);
}

void Gate::startQueuedRequests()
{
    while (const auto request = queue_.startNext(loop_.now())) {
        start(request->id_);
    }
}

void Gate::start(std::uint64_t id)
{
    Pending &pending = requests_.at(id);
    const Duration timeLeft = pending.deadline_ - loop_.now();
    if (timeLeft <= Duration::zero()) {
        queue_.finish(id, loop_.now(), false);
        fail(id, ErrorKind::DeadlineExpiredInQueue, "time was up before a slot was free");
        return;
    }
    pending.startedAt_ = loop_.now();
    pending.inFlightId_ = evidence_.begin(pending.request_.kind_, loop_.now());
    pending.connection_ = 0; // Marks the request as running even if send() fails synchronously.
    const HttpRequest request = makeRequest(pending);
    const RequestId requestId = pending.request_.requestId_;
    const auto ticket = connections_.send(request, requestId, timeLeft,
                                          [this, id](Result<HttpResponse> result) {
                                              finish(id, mapShedResponse(std::move(result)));
                                          });
    const auto started = requests_.find(id);
    if (started != requests_.end()) {
        started->second.connection_ = ticket;
    }
}

void Gate::finish(std::uint64_t id, Result<HttpResponse> result)
{
    const Pending &pending = requests_.at(id);
    Observation observation;
    observation.kind_ = pending.request_.kind_;
    observation.result_ = toObservedResult(result);
    observation.at_ = loop_.now();
    observation.latency_ = observation.at_ - pending.startedAt_;
    evidence_.end(pending.inFlightId_, observation);
    queue_.finish(id, loop_.now(), observation.result_ == ObservedResult::Succeeded);
    if (result.has_error()) {
        fail(id, result.error().kind_, result.error().message_);
    } else {
        isDrainAnnounced_ = announcesDrain(result.value());
        ExecuteAnswer executeAnswer;
        executeAnswer.status_ = result.value().status_;
        executeAnswer.headers_ = toFields(result.value().headers_);
        executeAnswer.body_ = std::move(result.value().body_);
        answer(id, std::move(executeAnswer));
    }
    tick();
}

void Gate::fail(std::uint64_t id, ErrorKind kind, const std::string &message)
{
    answer(id, makeErrorAnswer(RequestId(), server_, { kind, message }));
}

void Gate::answer(std::uint64_t id, ExecuteAnswer answer)
{
    const auto node = requests_.extract(id);
    const Pending &pending = node.mapped();
    idsByRequestId_.erase(pending.request_.requestId_);
    answer.requestId_ = pending.request_.requestId_;
    answer.server_ = server_;
    answer.loadReport_ = loadReport(pending.request_.kind_);
    pending.done_(std::move(answer));
}

HttpRequest Gate::makeRequest(const Pending &pending) const
{
    using std::chrono::milliseconds;
    HttpRequest request;
    request.method_ = pending.request_.method_;
    request.target_ = pending.request_.target_;
    request.headers_ = toHeaders(pending.request_.headers_);
    request.body_ = pending.request_.body_;
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(pending.deadline_ - loop_.now());
    request.headers_.remove("Expect"); // The fleet has already answered the expectation.
    request.headers_.set("X-Deadline-Ms", std::to_string(timeLeft.count()));
    return request;
}

GateLoadReport Gate::loadReport(const std::string &kind) const
{
    GateLoadReport report;
    report.queued_ = queue_.queued();
    report.running_ = queue_.running();
    report.slots_ = queue_.slots();
    for (std::size_t rank = 0; rank < rankCount_; ++rank) {
        report.waitByRank_.push_back(queue_.estimatedWait(rank, loop_.now()));
    }
    report.weight_ = closeReason_ ? 0.0 : weight_.weight();
    report.expectedServiceTime_ = queue_.expectedServiceTime(kind);
    return report;
}

nlohmann::json Gate::dumpState() const
{
    nlohmann::json state{ { "server", server_.value() },
                          { "closed", isClosed() },
                          { "drain_announced", isDrainAnnounced_ },
                          { "weight", weight_.weight() },
                          { "connections", connections_.connectionCount() },
                          { "busy_connections", connections_.busyCount() } };
    state["queue"] = queue_.dumpState();
    state["evidence"] = toJson(evidence());
    return state;
}

} // namespace qz
