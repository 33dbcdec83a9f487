// What the requests of an instance share.
#include "qz_forward/requests/forwarder.h"

#include "qz_core/logging/logger.h"
#include "qz_forward/requests/forwardedrequest.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Requests that wait after a start; a few kilobytes each.
constexpr std::size_t waitingLimit = 500;

} // namespace

Forwarder::Forwarder(EventLoop &loop, ForwardSettings settings, BackendTable &backends,
                     ForwardMetrics &metrics)
    : loop_(loop)
    , settings_(std::move(settings))
    , backends_(backends)
    , metrics_(metrics)
    , random_(std::random_device{}())
{
}

Forwarder::~Forwarder() = default;

void Forwarder::setSlackPart(double slackPart)
{
    slackPart_ = slackPart;
    for (auto &[service, allowance] : allowances_) {
        allowance.setSlackPart(slackPart);
    }
}

RetryAllowance &Forwarder::allowance(const ServiceId &service)
{
    return allowances_.try_emplace(service, settings_.retryBudget_, slackPart_).first->second;
}

void Forwarder::deferRequests(Duration limit)
{
    waitEnd_ = loop_.callAfter(limit, [this] { startDeferredRequests(); });
}

void Forwarder::startDeferredRequests()
{
    waitEnd_.reset();
    for (ForwardedRequest *run : std::exchange(waiting_, {})) {
        run->start();
    }
}

void Forwarder::handle(const std::shared_ptr<CallerExchange> &exchange)
{
    auto owned = std::make_unique<ForwardedRequest>(*this, exchange);
    ForwardedRequest &run = *owned;
    runs_.emplace(&run, std::move(owned));
    if (waitEnd_ != nullptr && waiting_.size() < waitingLimit) {
        waiting_.push_back(&run);
    } else {
        run.start();
    }
}

ServerRole Forwarder::serverRole(const Backend &server) const
{
    return dutyFinder_ ? dutyFinder_(server) : ServerRole::Owner;
}

void Forwarder::recordAttempt(Backend &server, AttemptResult result, Duration took,
                              bool isRepeatable)
{
    const TimePoint now = loop_.now();
    const auto before = server.health().state(now);
    const ServiceId &service = server.listed().service_;
    metrics_.countAttempt(service.value(), result);
    if (result == AttemptResult::Answered) {
        latencies_[service].record(took, now);
    }
    if (server.health().record(result, took, isRepeatable, now)) {
        const Duration hold = server.health().ejectedUntil() - now;
        metrics_.countEjection(service.value());
        log(LogLevel::Info, "server-held",
            { { "server", server.listed().id_.value() },
              { "service", service.value() },
              { "cause", toString(result) },
              { "hold_ms", std::chrono::duration_cast<std::chrono::milliseconds>(hold).count() },
              { "in_flight", server.inFlight() } });
        if (healthListener_ && isServerFault(result)) {
            healthListener_(server, hold);
        }
        return;
    }
    if (before != ServerHealth::State::Good
        && server.health().state(now) == ServerHealth::State::Good) {
        log(LogLevel::Info, "server-recovered",
            { { "server", server.listed().id_.value() }, { "service", service.value() } });
        if (healthListener_) {
            healthListener_(server, Duration::zero());
        }
    }
}

void Forwarder::deleteLater(ForwardedRequest *run)
{
    ended_.insert(run);
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), run), waiting_.end());
    if (drop_ == nullptr) {
        drop_ = loop_.callAfter(Duration::zero(), [this] {
            drop_.reset();
            for (ForwardedRequest *ended : std::exchange(ended_, {})) {
                runs_.erase(ended);
            }
        });
    }
}

} // namespace qz
