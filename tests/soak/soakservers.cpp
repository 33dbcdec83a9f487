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
constexpr Duration leastWork = 5ms;
constexpr Duration mostWork = 60ms;
/// Some bodies are longer than what an instance holds before it begins to stream.
constexpr std::size_t longBodyBytes = 150000;
constexpr std::size_t shortBodyBytes = 200;
constexpr std::size_t longBodyEvery = 7;
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

std::string SoakServer::makeBody(const std::string &id, const std::string &target)
{
    const std::string start = id + " " + target + " ";
    const bool isLong = std::hash<std::string>{}(id) % longBodyEvery == 0;
    std::string body;
    while (body.size() < (isLong ? longBodyBytes : shortBodyBytes)) {
        body += start;
    }
    return body;
}

bool SoakServer::draw(double share)
{
    return std::bernoulli_distribution(share)(random_);
}

void SoakServer::handle(const std::shared_ptr<CallerExchange> &exchange)
{
    const ForwardHeaders names = platform::makeForwardHeaders();
    lastRequestAt_ = loop_.now();
    HttpHead refusal;
    refusal.headers_.add(names.notRun_, "1");
    refusal.headers_.add(names.requestId_,
                         exchange->head().headers_.find(names.requestId_).value_or(""));
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
    ++ledger_.runs_[exchange->head().headers_.find(names.requestId_).value_or("")];
    std::uniform_int_distribution<Duration::rep> work(leastWork.count(), mostWork.count());
    const auto duration =
            std::chrono::duration_cast<Duration>(Duration(work(random_)) * fault_.slowFactor_);
    const std::uint64_t run = ++lastRun_;
    running_[run] = loop_.callAfter(duration, [this, exchange, run] {
        const auto handle = std::move(running_[run]);
        running_.erase(run);
        finish(exchange);
    });
}

void SoakServer::finish(const std::shared_ptr<CallerExchange> &exchange)
{
    if (draw(fault_.loseShare_)) {
        exchange->cut();
        return;
    }
    const ForwardHeaders names = platform::makeForwardHeaders();
    const std::string id = exchange->head().headers_.find(names.requestId_).value_or("");
    const std::string body = makeBody(id, exchange->head().target_);
    HttpHead head;
    head.status_ = 200;
    head.headers_.add(names.requestId_, id);
    head.headers_.add(names.seal_, "seal-" + id);
    if (!draw(fault_.truncateShare_)) {
        exchange->reply(head, body);
        return;
    }
    head.framing_ = BodyFraming::Length;
    head.length_ = body.size();
    exchange->startReply(head);
    exchange->sendBody(std::string_view(body).substr(0, body.size() / 2));
    exchange->cut();
}

} // namespace qz::testing
