// Callers of the fleet.
#include "testbed/caller.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace qz::testing {

namespace {

using nlohmann::json;

constexpr Duration answerLimit = std::chrono::seconds(15);
constexpr Duration addressLimit = std::chrono::seconds(2);
constexpr Duration refreshPeriod = std::chrono::milliseconds(400);

} // namespace

Caller::Caller(EventLoop &loop, Plan plan, const ExecutionLedger &ledger)
    : loop_(loop)
    , plan_(std::move(plan))
    , ledger_(ledger)
    , random_(plan_.seed_)
    , addresses_(plan_.seeds_)
{
}

void Caller::start()
{
    refreshAddresses();
    refresh_ = loop_.callEvery(refreshPeriod, [this] { refreshAddresses(); });
    dueAt_ = loop_.now();
    scheduleNext();
}

void Caller::scheduleNext()
{
    double factor = 0;
    for (const PlannedKind &kind : plan_.deployment_.kinds_) {
        const auto flood = plan_.floodFactors_.find(kind.name_);
        factor += kind.share_ * (flood == plan_.floodFactors_.end() ? 1.0 : flood->second);
    }
    std::exponential_distribution<> gap(plan_.requestsPerSecond_ * factor);
    const auto delay = std::chrono::duration<double>(gap(random_));
    dueAt_ += std::chrono::duration_cast<Duration>(delay);
    next_ = loop_.callAfter(std::max(dueAt_ - loop_.now(), Duration::zero()), [this] {
        sendOne();
        scheduleNext();
    });
}

const PlannedKind &Caller::drawKind()
{
    std::vector<double> weights;
    for (const PlannedKind &kind : plan_.deployment_.kinds_) {
        const auto flood = plan_.floodFactors_.find(kind.name_);
        weights.push_back(kind.share_ * (flood == plan_.floodFactors_.end() ? 1.0 : flood->second));
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    return plan_.deployment_.kinds_[draw(random_)];
}

void Caller::sendOne()
{
    Sent sent;
    sent.kind_ = &drawKind();
    sent.key_ = "r" + std::to_string(plan_.seed_) + "-" + std::to_string(++lastNumber_);
    sent.name_ = sent.key_;
    sent.target_ = sent.kind_->path_ + "/" + std::to_string(lastNumber_);
    sent.at_ = loop_.now();
    ++tallies_[sent.kind_->rank_].sent_;
    ++open_;
    send(sent, 0);
    const bool isDoubled = std::uniform_real_distribution<>(0, 1)(random_) < plan_.duplicateShare_;
    if (!sent.kind_->isRepeatable_ && isDoubled && addresses_.size() > 1) {
        sent.name_ += "-again";
        ++tallies_[sent.kind_->rank_].sent_;
        ++open_;
        send(sent, 1);
    }
}

void Caller::send(const Sent &sent, std::size_t addressIndex)
{
    HttpRequest request;
    request.method_ = sent.kind_->method_;
    request.target_ = sent.target_;
    request.headers_.add("Quetzaldale-Workspace", plan_.deployment_.name_);
    request.headers_.add("X-Bench-Name", sent.name_);
    if (!sent.kind_->isRepeatable_) {
        request.headers_.add("Idempotency-Key", sent.key_);
        request.body_ = "body of " + sent.name_;
    }
    HttpClientPool &pool = poolFor(addresses_[addressIndex]);
    pool.send(request, RequestId(sent.name_), answerLimit,
              [this, sent, addressIndex](const Result<HttpResponse> &result) {
                  take(sent, addressIndex, result);
              });
}

void Caller::take(const Sent &sent, std::size_t addressIndex, const Result<HttpResponse> &result)
{
    RankTally &tally = tallies_[sent.kind_->rank_];
    if (result.has_value()) {
        --open_;
        tell(sent, result.value());
        return;
    }
    const ErrorKind kind = result.error().kind_;
    if (kind == ErrorKind::BackendConnectFailed && addressIndex + 1 < addresses_.size()) {
        send(sent, addressIndex + 1); // Nothing was handed over: the next address is safe.
        return;
    }
    --open_;
    ++tally.causes_["caller:" + std::string(toString(kind))];
    if (kind == ErrorKind::AnswerMismatch) {
        ++violations_.wrongAnswers_;
        violations_.example_ = sent.name_ + ": " + result.error().message_;
    }
    if (kind == ErrorKind::BackendConnectFailed) {
        ++tally.notRun_;
        toldNotRun_.push_back(sent.name_);
    } else {
        ++tally.unknown_;
    }
}

void Caller::tell(const Sent &sent, const HttpResponse &response)
{
    RankTally &tally = tallies_[sent.kind_->rank_];
    const std::string outcome = response.headers_.find("Quetzaldale-Outcome").value_or("none");
    if (outcome != "answered") {
        ++tally.causes_[response.headers_.find("Quetzaldale-Cause").value_or("none")];
        if (outcome == "not-run") {
            ++tally.notRun_;
            toldNotRun_.push_back(sent.name_);
        } else {
            ++tally.unknown_;
        }
        return;
    }
    if (response.body_ != BackendStandIn::answerBody(sent.name_, sent.target_)) {
        ++violations_.wrongAnswers_;
        violations_.example_ = sent.name_ + " got " + response.body_.substr(0, 60);
    }
    if (response.status_ >= 500) {
        ++tally.failed_;
        return;
    }
    const Duration latency = loop_.now() - sent.at_;
    ++tally.answered_;
    tally.inTarget_ += latency <= targetOf(*sent.kind_) ? 1 : 0;
    tally.latencies_.push_back(latency);
}

Duration Caller::targetOf(const PlannedKind &kind) const
{
    for (const PlannedRank &rank : plan_.deployment_.ranks_) {
        if (rank.name_ == kind.rank_) {
            return rank.target_;
        }
    }
    return {};
}

void Caller::refreshAddresses()
{
    HttpRequest request;
    request.target_ = "/quetzaldale/addresses?caller=c" + std::to_string(plan_.seed_)
            + "&failure_domain=" + plan_.location_.failureDomain_.value()
            + "&region=" + plan_.location_.region_.value();
    std::uniform_int_distribution<std::size_t> draw(0, plan_.seeds_.size() - 1);
    poolFor(plan_.seeds_[draw(random_)])
            .send(request, RequestId("addresses"), addressLimit,
                  [this](const Result<HttpResponse> &result) {
                      if (result.has_error()) {
                          return;
                      }
                      const json reply = json::parse(result.value().body_, nullptr, false);
                      if (!reply.is_object() || !reply.contains("addresses")
                          || reply["addresses"].empty()) {
                          return;
                      }
                      std::vector<Endpoint> fresh;
                      for (const json &address : reply["addresses"]) {
                          fresh.push_back({ address["host"], address["port"] });
                      }
                      addresses_ = fresh;
                  });
}

HttpClientPool &Caller::poolFor(const Endpoint &endpoint)
{
    auto &pool = pools_[endpoint];
    if (pool == nullptr) {
        HttpClientLimits limits;
        limits.connections_ = 64;
        pool = std::make_unique<HttpClientPool>(loop_, endpoint, limits);
    }
    return *pool;
}

Violations Caller::findViolations() const
{
    Violations found = violations_;
    for (const std::string &name : toldNotRun_) {
        if (ledger_.runsByRequest_.count(name) > 0) {
            ++found.falseNotRun_;
            found.example_ = name + " was told not-run and ran";
        }
    }
    for (const auto &[key, runs] : ledger_.runsByKey_) {
        const std::string own = "r" + std::to_string(plan_.seed_) + "-";
        if (runs > 1 && key.compare(0, own.size(), own) == 0) {
            ++found.doubled_;
            found.example_ = key + " ran " + std::to_string(runs) + " times";
        }
    }
    return found;
}

} // namespace qz::testing
