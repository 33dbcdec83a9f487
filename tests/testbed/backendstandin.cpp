// A stand-in for one backend server.
#include "testbed/backendstandin.h"

#include <algorithm>
#include <stdexcept>

namespace qz::testing {

namespace {

constexpr const char *nameHeader = "X-Bench-Name";
constexpr std::size_t answerBytes = 2000;

HttpServerLimits makeLimits()
{
    HttpServerLimits limits;
    limits.idleTimeout_ = std::chrono::minutes(10);
    return limits;
}

std::string headerOf(const HttpExchange &exchange, const char *name)
{
    return exchange.request().headers_.find(name).value_or("");
}

} // namespace

BackendStandIn::BackendStandIn(EventLoop &loop, Plan plan, ExecutionLedger &ledger)
    : loop_(loop)
    , plan_(std::move(plan))
    , ledger_(ledger)
    , random_(plan_.seed_)
    , server_(loop, makeLimits(),
              [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
{
    if (server_.listen(plan_.endpoint_).has_error()) {
        throw std::runtime_error("a backend stand-in cannot listen");
    }
}

std::string BackendStandIn::answerBody(const std::string &name, const std::string &target)
{
    std::string body = name + " " + target + "\n";
    while (!name.empty() && body.size() < answerBytes) {
        body += name;
    }
    return body;
}

void BackendStandIn::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (running_.size() >= static_cast<std::size_t>(plan_.slots_)) {
        ++sheds_;
        HttpResponse response;
        response.status_ = 503;
        response.headers_.add("Retry-After", "1");
        exchange->reply(response);
        return;
    }
    ++runs_;
    lastStart_ = loop_.now();
    ++ledger_.runsByRequest_[headerOf(*exchange, nameHeader)];
    const std::string key = headerOf(*exchange, "Idempotency-Key");
    if (!key.empty()) {
        ++ledger_.runsByKey_[key];
    }
    const std::uint64_t run = ++lastRun_;
    running_[run] = loop_.callAfter(drawServiceTime(), [this, exchange, run] {
        finish(exchange);
        endRun(run);
    });
    highestRunning_ = std::max(highestRunning_, static_cast<int>(running_.size()));
    if (exchange->request().method_ == "GET") {
        exchange->setCallerGoneHandler([this, run] { endRun(run); });
    }
}

void BackendStandIn::finish(const std::shared_ptr<HttpExchange> &exchange)
{
    if (behavior_.isSilent_) {
        return;
    }
    if (behavior_.cutsAnswers_) {
        exchange->abort();
        return;
    }
    HttpResponse response;
    const bool isFailing =
            std::uniform_real_distribution<>(0, 1)(random_) < behavior_.failureShare_;
    response.status_ = isFailing ? 500 : 200;
    response.headers_.add("X-Request-Id", headerOf(*exchange, "X-Request-Id"));
    if (behavior_.isDraining_) {
        response.headers_.add("X-Backend-State", "draining");
    }
    response.body_ = answerBody(headerOf(*exchange, nameHeader), exchange->request().target_);
    exchange->reply(response);
}

void BackendStandIn::endRun(std::uint64_t run)
{
    running_.erase(run);
}

Duration BackendStandIn::drawServiceTime()
{
    // Half of the mean is certain, the rest exponential.
    std::exponential_distribution<> rest(1.0);
    const double factor = behavior_.slowFactor_ * (0.5 + 0.5 * rest(random_));
    return std::chrono::duration_cast<Duration>(plan_.meanServiceTime_ * factor);
}

} // namespace qz::testing
