// The last requests that this instance answered.
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
    nlohmann::json tries = nlohmann::json::array();
    for (const RequestAttempt &one : attempts_) {
        tries.push_back({ { "server", one.server_.value() },
                          { "gate", one.gate_.value() },
                          { "result", one.result_ },
                          { "took_us", toMicroseconds(one.took_) } });
    }
    return { { "request", id_.value() },
             { "caller_request", callerRequestId_.value() },
             { "workspace", workspace_.value() },
             { "kind", kind_ },
             { "rank", rank_ },
             { "rules_version", rulesVersion_ },
             { "tries", tries },
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
