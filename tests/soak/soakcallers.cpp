// Requests of callers, one by one, and their checks.
#include "soak/soakcallers.h"

#include "platform/platformnames.h"

#include <algorithm>
#include <array>
#include <utility>

namespace qz::testing {

namespace {

using namespace std::chrono_literals;

/// What callers wait for an answer.
constexpr Duration deadline = 4s;
/// Instances answer by the deadline; one that does not is noticed a moment later.
constexpr Duration patience = deadline + 1s;
constexpr int repeatableEvery = 2;
constexpr int withBodyEvery = 3;
constexpr int longEvery = 21; ///< An odd number: long requests are repeatable.
/// One request in so many goes to any open connection.
constexpr int keptEvery = 3;
/// A request that is told as of unknown outcome so long before its deadline was broken off.
constexpr Duration brokenOffMargin = 500ms;
constexpr int gatewayTimeout = 504;

/// Spellings of the field that says that a body comes in chunks.
constexpr std::array<const char *, 4> codingFields{ "Transfer-Encoding: chunked",
                                                    "Transfer-Encoding: CHUNKED",
                                                    "transfer-encoding:\tchunked",
                                                    "Transfer-Encoding: Chunked \t" };

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

/// One request over one connection.
class SoakCallers::Call : private BackendConnectionListener
{
public:
    Call(SoakCallers &callers, const Endpoint &endpoint, int number)
        : callers_(callers)
        , endpoint_(endpoint)
        , id_(callers.prefix_ + std::to_string(number))
        , isOnce_(number % repeatableEvery == 0 && number % longEvery != 0)
        , target_((number % longEvery == 0 ? std::string(SoakServer::longPrefix)
                           : isOnce_       ? std::string("/once/")
                                           : std::string("/safe/"))
                  + std::to_string(number))
        , body_(isOnce_ && number % withBodyEvery == 0 ? "body of " + id_ : "")
        , codingField_(
                  number / (repeatableEvery * withBodyEvery) % 2 == 0
                          ? ""
                          : codingFields.at(static_cast<std::size_t>(number) % codingFields.size()))
        , sentAt_(callers.loop_.now())
        , connection_(callers.takeIdle(endpoint))
    {
        timeout_ = callers.loop_.callAfter(patience, [this] { finish(0, "no answer in time"); });
        if (connection_ != nullptr) {
            connection_->setListener(this);
            send();
            return;
        }
        connection_ = std::make_unique<BackendConnection>(callers.loop_, endpoint, patience);
        connection_->setListener(this);
    }
    ~Call() override = default;

    const std::string &id() const { return id_; }
    const std::string &body() const { return body_; }
    bool isOnce() const { return isOnce_; }
    const Endpoint &endpoint() const { return endpoint_; }
    TimePoint sentAt() const { return sentAt_; }
    bool wasSent() const { return wasSent_; }
    int status() const { return status_; }
    const std::string &problem() const { return problem_; }
    std::unique_ptr<BackendConnection> takeConnection() { return std::move(connection_); }

private:
    void send()
    {
        const ForwardHeaders names = platform::makeForwardHeaders();
        HttpHead head;
        head.method_ = body_.empty() ? "GET" : "POST";
        head.target_ = target_;
        head.headers_.add("Host", "h");
        head.headers_.add(names.requestId_, id_);
        head.headers_.add(
                names.deadline_,
                std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count()));
        const bool isChunked = !body_.empty() && !codingField_.empty();
        if (isChunked) {
            // A line of its own: the field is written in one way only.
            head.headers_.add("X-Spelling", "own\r\n" + codingField_);
        } else if (!body_.empty()) {
            head.framing_ = BodyFraming::Length;
            head.length_ = body_.size();
        }
        wasSent_ = true;
        connection_->sendHead(head);
        connection_->sendBody(isChunked ? formatChunk(body_).append(lastChunk) : body_);
        connection_->endRequest();
    }

    void takeConnected() override { send(); }
    void takeAnswerHead(HttpHead head) override
    {
        const ForwardHeaders names = platform::makeForwardHeaders();
        const auto seal = head.headers_.find(names.seal_);
        if (seal && head.headers_.find(names.leaving_)) {
            callers_.leavingPassedOn_.try_emplace({ endpoint_, SoakServer::serverOfSeal(*seal) },
                                                  callers_.loop_.now());
        }
        answerHead_ = std::move(head);
    }
    void takeAnswerBody(std::string_view data) override { answer_.append(data); }
    void takeSendDrained() override { }
    void takeFailure(const Error &error) override { finish(0, error.message_); }

    void takeAnswerEnd() override
    {
        const ForwardHeaders names = platform::makeForwardHeaders();
        const int status = answerHead_.status_;
        if (status == 200) {
            const std::string seal = answerHead_.headers_.find(names.seal_).value_or("");
            const std::string server = SoakServer::serverOfSeal(seal);
            const bool isWhole = answer_ == SoakServer::makeBody(server, id_, target_);
            const bool isSealed = seal == SoakServer::makeSeal(server, id_);
            if (!isWhole || !isSealed) {
                callers_.reporter_("MIXED: request " + id_ + " got another body or seal, "
                                   + std::to_string(answer_.size()) + " bytes");
            }
        }
        finish(status, "");
    }

    void finish(int status, const std::string &problem)
    {
        status_ = status;
        problem_ = problem;
        timeout_.reset();
        if (status == 0) {
            connection_->setListener(nullptr);
        }
        callers_.end(*this);
    }

    SoakCallers &callers_;
    const Endpoint endpoint_;
    const std::string id_;
    const bool isOnce_;
    const std::string target_;
    const std::string body_;
    const std::string codingField_; ///< Of a body in chunks; empty: it is sent with its length.
    const TimePoint sentAt_;
    std::unique_ptr<BackendConnection> connection_;
    HttpHead answerHead_;
    std::string answer_;
    std::string problem_;
    int status_ = 0; ///< Zero: no answer.
    bool wasSent_ = false;
    Timers::HandlePtr timeout_;
};

SoakCallers::SoakCallers(EventLoop &loop, RunLedger &ledger, AddressFinder finder, CutExcuse excuse,
                         Reporter reporter, std::uint64_t seed)
    : loop_(loop)
    , ledger_(ledger)
    , finder_(std::move(finder))
    , excuse_(std::move(excuse))
    , reporter_(std::move(reporter))
    , prefix_(std::to_string(seed) + "-")
    , random_(seed)
{
}

SoakCallers::~SoakCallers() = default;

void SoakCallers::start(Duration period)
{
    timer_ = loop_.callEvery(period, [this] { sendOne(); });
}

void SoakCallers::stop()
{
    timer_.reset();
}

void SoakCallers::sendOne()
{
    const Endpoint endpoint = chooseEndpoint();
    if (endpoint.host_.empty()) {
        return;
    }
    ++tally_.sent_;
    ledger_.retryBudget_.recordRequest(loop_.now());
    auto call = std::make_unique<Call>(*this, endpoint, ++lastNumber_);
    requests_[call->id()] = { endpoint, loop_.now(), call->body() };
    if (call->isOnce()) {
        onceIds_.insert(call->id());
    }
    calls_.emplace(call.get(), std::move(call));
}

Endpoint SoakCallers::chooseEndpoint()
{
    std::vector<Endpoint> open;
    if (random_() % keptEvery == 0) {
        for (const auto &[endpoint, kept] : idle_) {
            if (!kept.empty() && kept.back()->isReusable()) {
                open.push_back(endpoint);
            }
        }
    }
    return open.empty() ? finder_() : open[random_() % open.size()];
}

std::unique_ptr<BackendConnection> SoakCallers::takeIdle(const Endpoint &endpoint)
{
    auto &kept = idle_[endpoint];
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
    }
    return nullptr;
}

void SoakCallers::end(Call &call)
{
    const bool hasRun = ledger_.runs_.count(call.id()) > 0;
    const std::string described =
            "request " + call.id() + " at " + toString(call.endpoint()) + ", " + call.problem();
    if (call.status() == 200) {
        ++tally_.answered_;
    } else if (promisesNotRun(call.status())) {
        ++tally_.notRun_;
        notRunIds_.insert(call.id());
    } else if (call.status() != 0) {
        ++tally_.unknown_;
    } else {
        ++tally_.cut_;
    }
    const Duration elapsed = loop_.now() - call.sentAt();
    const bool isBrokenOff = call.status() == 0
            || (call.status() == gatewayTimeout && elapsed < deadline - brokenOffMargin);
    if (isBrokenOff && call.wasSent() && !excuse_(call.endpoint(), call.sentAt())) {
        if (hasRun) {
            reporter_("LOST: " + described + ", status " + std::to_string(call.status()));
        } else if (elapsed >= patience) {
            reporter_("LATE: " + described);
        }
    }
    ends_.push_back({ call.sentAt(), call.status() == 200, call.endpoint() });
    if (call.status() != 0) {
        auto connection = call.takeConnection();
        connection->setListener(nullptr);
        if (connection->isReusable()) {
            idle_[call.endpoint()].push_back(std::move(connection));
        }
    }
    const auto found = calls_.find(&call);
    if (found == calls_.end()) {
        return; // It failed while it was made; sendOne() would keep it.
    }
    ended_.push_back(std::move(found->second));
    calls_.erase(found);
    drop_ = loop_.callAfter(Duration::zero(), [this] { ended_.clear(); });
}

std::pair<int, int> SoakCallers::servedSince(TimePoint from) const
{
    int ended = 0;
    int answered = 0;
    for (const End &end : ends_) {
        if (end.sentAt_ >= from) {
            ++ended;
            answered += end.isAnswered_ ? 1 : 0;
        }
    }
    return { ended, answered };
}

std::pair<int, int> SoakCallers::servedAt(const std::set<Endpoint> &endpoints, bool isAtOthers,
                                          TimePoint from, TimePoint to) const
{
    int ended = 0;
    int answered = 0;
    for (const End &end : ends_) {
        const bool isAtThese = (endpoints.count(end.endpoint_) > 0) != isAtOthers;
        if (isAtThese && end.sentAt_ >= from && end.sentAt_ < to) {
            ++ended;
            answered += end.isAnswered_ ? 1 : 0;
        }
    }
    return { ended, answered };
}

std::optional<SoakCallers::SentRequest> SoakCallers::findRequest(const std::string &id) const
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<TimePoint> SoakCallers::leavingPassedOnAt(const Endpoint &endpoint,
                                                        const std::string &server) const
{
    const auto found = leavingPassedOn_.find({ endpoint, server });
    return found == leavingPassedOn_.end() ? std::nullopt : std::optional(found->second);
}

void SoakCallers::checkLedger()
{
    for (const auto &[id, runs] : ledger_.runs_) {
        if (runs > 1 && onceIds_.count(id) > 0) {
            reporter_("TWICE: request " + id + " ran " + std::to_string(runs) + " times");
        }
        const auto request = requests_.find(id);
        const bool isProbe = id.rfind(probePrefix, 0) == 0;
        if (request == requests_.end() ? !isProbe : ledger_.bodies_[id] != request->second.body_) {
            reporter_("UNASKED: request " + id + " was not sent, or with another body");
        }
        // A repeatable one may run at a server that was given up; its promise is checked alike.
        if (notRunIds_.count(id) > 0) {
            reporter_("REFUSED: request " + id + " was told as not run and has run");
        }
    }
}

} // namespace qz::testing
