// Records of the last requests that this instance served.
#include "qz_proxy/observability/requestjournal.h"

#include <utility>

namespace qz {

namespace {

std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

} // namespace

nlohmann::json RequestRecord::toJson() const
{
    nlohmann::json attempts = nlohmann::json::array();
    for (const RequestAttempt &attempt : attempts_) {
        attempts.push_back({ { "server", attempt.server_.value() },
                             { "gate", attempt.gate_.value() },
                             { "result", attempt.result_ },
                             { "took_us", toMicroseconds(attempt.took_) } });
    }
    return { { "request", id_.value() },
             { "caller_request", callerRequestId_.value() },
             { "workspace", workspace_.value() },
             { "kind", kind_ },
             { "rank", rank_ },
             { "rules_version", rulesVersion_ },
             { "tries", attempts },
             { "outcome", outcome_ },
             { "cause", cause_ },
             { "message", message_ },
             { "took_us", toMicroseconds(took_) } };
}

void RequestJournal::add(RequestRecord record)
{
    if (order_.size() >= limit_) {
        records_.erase(order_.front());
        order_.pop_front();
    }
    order_.push_back(record.id_);
    const RequestId id = record.id_;
    records_.emplace(id, std::move(record));
}

std::optional<RequestRecord> RequestJournal::find(const RequestId &id) const
{
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace qz
