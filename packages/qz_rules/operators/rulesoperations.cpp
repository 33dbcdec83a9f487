// Operators' calls on the rules.
#include "qz_rules/operators/rulesoperations.h"

#include "qz_core/ids/randomid.h"

#include <charconv>
#include <utility>

namespace qz {

namespace {

std::string dump(const nlohmann::json &json)
{
    constexpr int indent = 2;
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::optional<RulesVersion> parseVersion(std::string text)
{
    if (text.size() > 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    RulesVersion version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

nlohmann::json toJson(const RulesStamp &stamp)
{
    return { { "version", stamp.version_ }, { "epoch", stamp.epoch_ } };
}

nlohmann::json toJson(const std::optional<Duration> &age)
{
    if (!age) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

} // namespace

RulesReply replyTo(const Error &error)
{
    const ErrorAnswer &answer = answerOf(error.kind_);
    return RulesReply{ answer.httpStatus_,
                       dump({ { "error", answer.name_ },
                              { "outcome", toString(answer.outcome_) },
                              { "message", error.message_ } }),
                       std::nullopt };
}

RulesReply RulesOperations::get() const
{
    const auto adopted = service_.adopted();
    if (adopted == nullptr) {
        return replyTo({ ErrorKind::NotFound, "there is no version of the rules yet" });
    }
    return RulesReply{ 200, adopted->document_->text(), adopted->head_.stamp_.version_ };
}

void RulesOperations::put(RulesPut put, Done done)
{
    const auto expected = parseVersion(put.ifMatch_.value_or(""));
    if (!expected) {
        done(replyTo({ ErrorKind::BadRequest, "If-Match must name the version looked at" }));
        return;
    }
    PublishOrder order;
    order.expected_ = *expected;
    order.document_ = std::move(put.document_);
    order.author_ = std::move(put.author_);
    order.attemptToken_ = put.attemptToken_.empty() ? makeRandomId() : std::move(put.attemptToken_);
    service_.publish(std::move(order), [done = std::move(done)](const auto &revision) {
        if (!revision) {
            done(replyTo(revision.error()));
            return;
        }
        const RulesHead &head = revision.value().head_;
        done(RulesReply{ 200, dump({ { "version", head.stamp_.version_ }, { "hash", head.hash_ } }),
                         head.stamp_.version_ });
    });
}

RulesReply RulesOperations::status() const
{
    return RulesReply{ 200, dump(describe()), service_.status().digest_.adopted_.version_ };
}

nlohmann::json RulesOperations::describe() const
{
    const RulesStatus status = service_.status();
    return { { "adopted", toJson(status.digest_.adopted_) },
             { "known", toJson(status.digest_.known_) },
             { "hash", status.hash_ },
             { "author", status.author_ },
             { "in_force", status.isInForce_ },
             { "accepted", status.isEstablished_ },
             { "confirmation_age_ms", toJson(status.confirmationAge_) },
             { "table_age_ms", toJson(status.tableAge_) },
             { "poller", status.isPoller_ },
             { "voters", status.voterCount_ } };
}

} // namespace qz
