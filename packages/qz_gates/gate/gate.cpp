// The gate of one backend server.
#include "qz_gates/gate/gate.h"

#include "qz_gates/gate/backendresponse.h"

#include <utility>

namespace qz {

namespace {

constexpr std::size_t queueLimit = 512; ///< Requests.
constexpr std::size_t answerLimitBytes = 1024UL * 1024;

HttpClientLimits makeClientLimits(const BackendServer &server)
{
    HttpClientLimits limits;
    limits.connections_ = static_cast<std::size_t>(server.listed_.slots_);
    limits.answerBytes_ = answerLimitBytes;
    return limits;
}

AdmissionQueue makeQueue(const BackendServer &server, std::vector<RankShare> ranks)
{
    AdmissionQueue::Builder builder;
    builder.setSlots(server.listed_.slots_);
    builder.setRanks(std::move(ranks));
    builder.setMaxQueued(queueLimit);
    return builder.build();
}

AdmissionRequest makeTicket(std::uint64_t id, const ExecuteRequest &request, TimePoint deadline)
{
    AdmissionRequest ticket;
    ticket.id_ = id;
    ticket.rank_ = request.rank_;
    ticket.workspace_ = request.workspace_;
    ticket.kind_ = request.kind_;
    ticket.worth_ = request.worth_;
    ticket.deadline_ = deadline;
    ticket.weight_ = request.weight_;
    return ticket;
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
    if (closedFor_) {
        done(makeErrorAnswer(request.requestId_, server_, { *closedFor_, "the gate is closed" }));
        return;
    }
    if (ids_.count(request.requestId_) > 0) {
        const Error error{ ErrorKind::Internal, "a try of this id is under way" };
        done(makeErrorAnswer(request.requestId_, server_, error));
        return;
    }
    const std::uint64_t id = ++lastId_;
    const TimePoint deadline = loop_.now() + request.timeLeft_;
    const auto offered = queue_.offer(makeTicket(id, request, deadline), loop_.now());
    ids_[request.requestId_] = id;
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
    const auto found = ids_.find(requestId);
    if (found == ids_.end()) {
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
    evidence_.discard(pending.flight_);
    queue_.finish(id, loop_.now(), false);
    fail(id, ErrorKind::CallerGone, "cancelled while running");
    startWaiting();
}

void Gate::tick()
{
    for (const DroppedRequest &dropped : queue_.takeDroppedRequests(loop_.now())) {
        fail(dropped.id_, dropped.kind_, "left the queue without a slot");
    }
    verdict_ = detector_.evaluate(evidence_.digest(loop_.now()), others_);
    weight_.update(verdict_, loop_.now());
    startWaiting();
}

void Gate::close(ErrorKind kind)
{
    closedFor_ = kind;
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

void Gate::setPeers(ServiceBaseline baseline, std::vector<EvidenceDigest> others)
{
    evidence_.setBaseline(std::move(baseline));
    others_ = std::move(others);
}

void Gate::startWaiting()
{
    while (const auto ticket = queue_.startNext(loop_.now())) {
        start(ticket->id_);
    }
}

void Gate::start(std::uint64_t id)
{
    Pending &pending = requests_.at(id);
    const Duration left = pending.deadline_ - loop_.now();
    if (left <= Duration::zero()) {
        queue_.finish(id, loop_.now(), false);
        fail(id, ErrorKind::DeadlineExpiredInQueue, "time was up before a slot was free");
        return;
    }
    pending.startedAt_ = loop_.now();
    pending.flight_ = evidence_.begin(pending.request_.kind_, loop_.now());
    pending.connection_ = 0; // Running, also while send() fails at once.
    const HttpRequest request = makeRequest(pending);
    const RequestId requestId = pending.request_.requestId_;
    const auto ticket =
            connections_.send(request, requestId, left, [this, id](Result<HttpResponse> result) {
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
    evidence_.end(pending.flight_, observation);
    queue_.finish(id, loop_.now(), observation.result_ == ObservedResult::Succeeded);
    if (result.has_error()) {
        fail(id, result.error().kind_, result.error().message_);
    } else {
        isDrainAnnounced_ = announcesDrain(result.value());
        ExecuteAnswer whole;
        whole.status_ = result.value().status_;
        whole.headers_ = toFields(result.value().headers_);
        whole.body_ = std::move(result.value().body_);
        answer(id, std::move(whole));
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
    ids_.erase(pending.request_.requestId_);
    answer.requestId_ = pending.request_.requestId_;
    answer.server_ = server_;
    answer.loadReport_ = digest(pending.request_.kind_);
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
    const auto left = std::chrono::duration_cast<milliseconds>(pending.deadline_ - loop_.now());
    request.headers_.remove("Expect"); // The caller was told to go on by this fleet.
    request.headers_.set("X-Deadline-Ms", std::to_string(left.count()));
    return request;
}

GateLoadReport Gate::digest(const std::string &kind) const
{
    GateLoadReport digest;
    digest.queued_ = queue_.queued();
    digest.running_ = queue_.running();
    digest.slots_ = queue_.slots();
    for (std::size_t rank = 0; rank < rankCount_; ++rank) {
        digest.waitByRank_.push_back(queue_.estimatedWait(rank, loop_.now()));
    }
    digest.weight_ = closedFor_ ? 0.0 : weight_.weight();
    digest.expectedServiceTime_ = queue_.expectedServiceTime(kind);
    return digest;
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
