// Work, answers and faults of the soak's backend servers.
#include "soak/soakservers.h"

#include "platform/platformnames.h"
#include "qz_http/tests/rawsocket.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace qz::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t slots = 8;
constexpr Duration crashTime = 50ms;
constexpr Duration leastWork = 5ms;
constexpr Duration mostWork = 60ms;
/// Some bodies are longer than what an instance holds before it begins to stream.
constexpr std::size_t longBodyBytes = 150000;
constexpr std::size_t shortBodyBytes = 200;
constexpr std::size_t longBodyEvery = 7;
/// Requests that take long, and their answers.
constexpr Duration leastLongWork = 500ms;
constexpr Duration mostLongWork = 2300ms;
constexpr std::size_t pieces = 10;
constexpr Duration latestRepeat = 150ms;
constexpr Duration repeatPause = 5ms;
constexpr std::size_t piecedBodyBytes = 300000;
/// Another process can take a port between its choice and listen().
constexpr int listenTries = 20;

/// Makes @p server listen at a free port and returns its endpoint.
Endpoint listenAtFreePort(CallerServer &server)
{
    for (int i = 0; i < listenTries; ++i) {
        Endpoint endpoint{ "127.0.0.1", findFreePort() };
        if (!server.listen(endpoint).has_error()) {
            return endpoint;
        }
    }
    throw std::runtime_error("a backend server cannot listen");
}

} // namespace

/// A request at work.
struct SoakServer::Run
{
    std::shared_ptr<CallerExchange> exchange_;
    std::string body_;
    std::size_t sent_ = 0; ///< Bytes of a body that is sent in pieces.
    Timers::HandlePtr timer_;
};

SoakServer::SoakServer(EventLoop &loop, std::string id, std::string service, RunLedger &ledger,
                       std::uint64_t seed)
    : loop_(loop)
    , id_(std::move(id))
    , service_(std::move(service))
    , ledger_(ledger)
    , random_(seed)
    , server_(loop, {}, [this](const auto &exchange) { handle(exchange); })
    , endpoint_(listenAtFreePort(server_))
    , relay_(loop, endpoint_)
{
}

std::string SoakServer::makeEntry(const std::string &domain) const
{
    return nlohmann::json{
        { "Address", toString(relay_.endpoint()) },
        { "born", 1 },
        { "Info",
          { { "Service", service_ }, { "Version", "v" }, { "Zone", domain }, { "Slots", slots } } },
        { "Status",
          { { "State", isDraining_ ? "draining" : "ready" },
            { "Sequence", 1 },
            { "ColdRemainingS", 0 } } }
    }.dump();
}

SoakServer::~SoakServer() = default;

std::string SoakServer::makeBody(const std::string &server, const std::string &id,
                                 const std::string &target)
{
    const std::string start = server + " " + id + " " + target + " ";
    const bool isLong = std::hash<std::string>{}(server + id) % longBodyEvery == 0;
    const bool isPieced = target.rfind(longPrefix, 0) == 0;
    const std::size_t size = isPieced ? piecedBodyBytes : isLong ? longBodyBytes : shortBodyBytes;
    std::string body;
    while (body.size() < size) {
        body += start;
    }
    return body;
}

std::string SoakServer::makeSeal(const std::string &server, const std::string &id)
{
    return "seal/" + server + "/" + id;
}

std::string SoakServer::serverOfSeal(const std::string &seal)
{
    const std::size_t begin = seal.find('/') + 1;
    return seal.substr(begin, seal.find('/', begin) - begin);
}

bool SoakServer::draw(double share)
{
    return std::bernoulli_distribution(share)(random_);
}

HttpHead SoakServer::makeHead(int status, const std::string &id) const
{
    const ForwardHeaders names = platform::makeForwardHeaders();
    HttpHead head;
    head.status_ = status;
    head.headers_.add(names.requestId_, id);
    if (isLeaving_) {
        head.headers_.add(names.leaving_, "1");
    }
    return head;
}

void SoakServer::handle(const std::shared_ptr<CallerExchange> &exchange)
{
    const ForwardHeaders names = platform::makeForwardHeaders();
    lastRequestAt_ = loop_.now();
    const std::string id = exchange->head().headers_.find(names.requestId_).value_or("");
    ledger_.retryBudget_.recordArrival(id, loop_.now());
    if (isLeaving_) {
        ledger_.arrivalsWhileLeaving_[id_].push_back(id);
    }
    HttpHead refusal = makeHead(0, id);
    refusal.headers_.add(names.notRun_, "1");
    if (exchange->head().headers_.find(names.expectServer_).value_or(id_) != id_) {
        refusal.status_ = 421;
        exchange->reply(refusal, "");
        return;
    }
    if (running_.size() >= slots * 2) {
        refusal.status_ = 503;
        exchange->reply(refusal, "");
        return;
    }
    if (draw(fault_.resetShare_)) {
        exchange->cut();
        return;
    }
    start(exchange);
}

void SoakServer::start(const std::shared_ptr<CallerExchange> &exchange)
{
    const std::string id =
            exchange->head().headers_.find(platform::makeForwardHeaders().requestId_).value_or("");
    ++ledger_.runs_[id];
    ledger_.bodies_[id] = exchange->body();
    const std::string &target = exchange->head().target_;
    const bool isLong = target.rfind(longPrefix, 0) == 0;
    std::uniform_int_distribution<Duration::rep> work((isLong ? leastLongWork : leastWork).count(),
                                                      (isLong ? mostLongWork : mostWork).count());
    const auto duration =
            std::chrono::duration_cast<Duration>(Duration(work(random_)) * fault_.slowFactor_);
    auto owned = std::make_unique<Run>();
    Run &run = *owned;
    running_.emplace(&run, std::move(owned));
    run.exchange_ = exchange;
    run.body_ = makeBody(id_, id, target);
    if (target == SoakServer::crashTarget) {
        ledger_.crashArrivals_.emplace_back(id, loop_.now());
        run.timer_ = loop_.callAfter(crashTime, [this] { crash(); });
    } else if (isLong) {
        run.timer_ = loop_.callEvery(duration / pieces, [this, &run] { sendPiece(run); });
    } else {
        run.timer_ = loop_.callAfter(duration, [this, &run] { finish(run); });
    }
}

void SoakServer::crash()
{
    hasCrashed_ = true;
    ledger_.crashes_.push_back(loop_.now());
    relay_.stop();
    const auto ended = std::move(running_); // The timer that runs now is one of them.
    running_.clear();
    if (crashHandler_) {
        crashHandler_();
    }
}

void SoakServer::sendPiece(Run &run)
{
    const ForwardHeaders names = platform::makeForwardHeaders();
    if (run.sent_ == 0) {
        const std::string id = run.exchange_->head().headers_.find(names.requestId_).value_or("");
        HttpHead head = makeHead(200, id);
        head.headers_.add(names.seal_, makeSeal(id_, id));
        head.framing_ = BodyFraming::Chunked;
        run.exchange_->startReply(head);
    }
    const std::string piece = run.body_.substr(run.sent_, run.body_.size() / pieces + 1);
    run.exchange_->sendBody(piece);
    run.sent_ += piece.size();
    if (run.sent_ == run.body_.size()) {
        run.exchange_->endReply();
    }
    if (run.sent_ == run.body_.size() || !run.exchange_->isOpen()) {
        const auto ended = std::move(running_.at(&run));
        running_.erase(&run);
    }
}

std::string SoakServer::makePiece(const std::string &id)
{
    const ForwardHeaders names = platform::makeForwardHeaders();
    const bool isRefusal = random_() % 2 == 0;
    HttpHead head;
    head.status_ = isRefusal ? 503 : 200;
    // Ahead of the id, so that a piece may hold it without the id.
    head.headers_.add(isRefusal ? names.notRun_ : names.seal_, isRefusal ? "1" : makeSeal(id_, id));
    head.headers_.add(names.requestId_, id);
    head.framing_ = BodyFraming::Length;
    const std::string text = formatResponseHead(head);
    return text.substr(0, 1 + random_() % (text.size() - 1));
}

void SoakServer::sendWithSurplus(const std::shared_ptr<CallerExchange> &exchange,
                                 const HttpHead &head, const std::string &body,
                                 const std::string &surplus)
{
    exchange->startReply(head);
    exchange->sendBody(body);
    // Until the exchange ends, further requests of the connection wait.
    std::uniform_int_distribution<Duration::rep> delay(0, latestRepeat.count());
    const Duration first(delay(random_));
    const auto sendAfter = [this, exchange](Duration time, const std::string &part, bool isLast) {
        const std::uint64_t number = ++lastRepeat_;
        repeats_[number] = loop_.callAfter(time, [this, exchange, part, isLast, number] {
            const auto timer = std::move(repeats_[number]);
            repeats_.erase(number);
            exchange->sendBody(part);
            if (isLast) {
                exchange->endReply();
            }
        });
    };
    sendAfter(first, surplus.substr(0, surplus.size() / 2), false);
    sendAfter(first + repeatPause, surplus.substr(surplus.size() / 2), true);
}

void SoakServer::finish(Run &run)
{
    const auto ended = std::move(running_.at(&run));
    running_.erase(&run);
    const auto &exchange = run.exchange_;
    if (draw(fault_.loseShare_)) {
        exchange->cut();
        return;
    }
    const ForwardHeaders names = platform::makeForwardHeaders();
    const std::string id = exchange->head().headers_.find(names.requestId_).value_or("");
    HttpHead head = makeHead(200, id);
    head.headers_.add(names.seal_, makeSeal(id_, id));
    const bool isRepeated = draw(fault_.repeatShare_);
    if (isRepeated || draw(fault_.pieceShare_)) {
        head.framing_ = BodyFraming::Length;
        head.length_ = run.body_.size();
        sendWithSurplus(exchange, head, run.body_,
                        isRepeated ? formatResponseHead(head) + run.body_ : makePiece(id));
        return;
    }
    const bool isTruncated = draw(fault_.truncateShare_);
    if (!isTruncated && !draw(fault_.stallShare_)) {
        exchange->reply(head, run.body_);
        return;
    }
    head.framing_ = BodyFraming::Length;
    head.length_ = run.body_.size();
    exchange->startReply(head);
    exchange->sendBody(std::string_view(run.body_).substr(0, run.body_.size() / 2));
    if (isTruncated) {
        exchange->cut();
    }
}

} // namespace qz::testing
