// The rules at work in a daemon.
#include "quetzaldaled/rulesduty.h"

#include "quetzaldaled/rulesmessages.h"
#include "qz_core/ids/randomid.h"
#include "qz_core/logging/logger.h"
#include "qz_proxy/operators/operatorservice.h"

#include <charconv>
#include <random>
#include <utility>

namespace qz {

namespace {

constexpr int statusOk = 200;
constexpr const char *authorHeader = "Quetzaldale-Author";

/// Reads an entity tag such as "7" with its quotes.
std::optional<RulesVersion> readVersionTag(const std::string &tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    RulesVersion version = 0;
    const char *last = tag.data() + tag.size() - 1;
    const auto [end, error] = std::from_chars(tag.data() + 1, last, version);
    if (error != std::errc() || end != last) {
        return std::nullopt;
    }
    return version;
}

nlohmann::json toMilliseconds(const std::optional<Duration> &duration)
{
    if (!duration) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(*duration).count();
}

} // namespace

RulesDuty::RulesDuty(const Parts &parts, std::string incarnation, Duration inForceLimit)
    : parts_(parts)
    , incarnation_(std::move(incarnation))
{
    RulesCallbacks callbacks;
    callbacks.sendRequest_ = [this](const VoterId &to, const RulesRequest &request) {
        const auto message = toMessage(request, service_->digest(), incarnation_);
        send(to, MessageKind::RulesRequest, packMessage(message));
    };
    callbacks.sendAnswer_ = [this](const VoterId &to, const RulesAnswer &answer) {
        send(to, MessageKind::RulesAnswer, packMessage(toMessage(answer, incarnation_)));
    };
    callbacks.adopted_ = [this](const RulesRevision &revision) { adopt(revision); };
    RulesSpreadSettings settings;
    settings.inForceLimit_ = inForceLimit;
    RulesService::Builder builder;
    builder.setSelf(makeVoterId(parts.view_.self().id_, incarnation_));
    builder.setTable(parts.table_);
    builder.setObjects(parts.objects_);
    builder.setClock(parts.loop_);
    builder.setTimers(parts.loop_);
    builder.setSettings(settings);
    builder.setSeed(std::random_device{}());
    builder.setCallbacks(callbacks);
    service_ = builder.build();
    parts_.links_.setHandler(MessageKind::RulesRequest,
                             [this](const InstanceId &from, std::string_view payload) {
                                 takeRequest(from, payload);
                             });
    parts_.links_.setHandler(MessageKind::RulesAnswer,
                             [this](const InstanceId &from, std::string_view payload) {
                                 takeAnswer(from, payload);
                             });
    parts_.view_.setInForceTest([this] { return service_->inForce().has_value(); });
}

void RulesDuty::setMembers(const std::vector<Member> &members)
{
    std::vector<VoterId> voters;
    for (const Member &member : members) {
        const bool isOther = member.id_ != parts_.view_.self().id_;
        if (isOther && member.state_ == MemberState::Live && !member.incarnation_.empty()) {
            voters.push_back(makeVoterId(member.id_, member.incarnation_));
        }
    }
    service_->setMembers(std::move(voters));
}

void RulesDuty::setListed(const InstanceListing &listing)
{
    std::set<InstanceId> listed;
    for (const ListedInstance &instance : listing.instances_) {
        listed.insert(instance.id_);
    }
    service_->setListed(listed);
}

void RulesDuty::send(const VoterId &to, MessageKind kind, std::string payload)
{
    // A message that cannot be sent counts as lost; the service asks again.
    (void)parts_.links_.send(instanceOf(to), kind, std::move(payload));
}

void RulesDuty::takeRequest(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<RulesRequestMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Error, "rules-request-malformed", { { "from", from.value() } });
        return;
    }
    const VoterId sender = makeVoterId(from, message.value().senderIncarnation_);
    service_->takeDigest(sender, fromMessage(message.value().digest_));
    service_->takeRequest(sender, fromMessage(message.value()));
}

void RulesDuty::takeAnswer(const InstanceId &from, std::string_view payload)
{
    const auto message = unpackMessage<RulesAnswerMessage>(payload);
    if (message.has_error()) {
        log(LogLevel::Error, "rules-answer-malformed", { { "from", from.value() } });
        return;
    }
    const auto answer = fromMessage(message.value());
    if (answer.has_error()) {
        log(LogLevel::Error, "rules-answer-malformed", { { "from", from.value() } });
        return;
    }
    service_->takeAnswer(makeVoterId(from, message.value().senderIncarnation_), answer.value());
}

void RulesDuty::adopt(const RulesRevision &revision)
{
    const RulesVersion version = revision.head_.stamp_.version_;
    parts_.view_.adoptRules(version, revision.rules_);
    log(LogLevel::Info, "rules-adopted",
        { { "version", version }, { "hash", revision.head_.hash_ } });
}

void RulesDuty::handleRules(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().method_ == "PUT") {
        publish(exchange);
    } else {
        answerRules(*exchange);
    }
}

void RulesDuty::answerRules(HttpExchange &exchange) const
{
    const auto revision = service_->adopted();
    if (revision == nullptr) {
        replyError(exchange, { ErrorKind::NotFound, "there is no version of the rules yet" });
        return;
    }
    HttpResponse response;
    response.headers_.add("ETag", "\"" + std::to_string(revision->head_.stamp_.version_) + "\"");
    response.headers_.add("Content-Type", "application/json");
    response.body_ = revision->document_->text();
    exchange.reply(response);
}

void RulesDuty::publish(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const auto expected = readVersionTag(request.headers_.find("If-Match").value_or(""));
    if (!expected) {
        replyError(*exchange,
                   { ErrorKind::BadRequest, "If-Match must hold the version, like \"7\"" });
        return;
    }
    PublishOrder order;
    order.expected_ = *expected;
    order.document_ = request.body_;
    order.author_ = request.headers_.find(authorHeader).value_or("unknown");
    order.attemptToken_ = makeRandomId();
    service_->publish(std::move(order), [exchange](const Result<RulesRevision> &revision) {
        if (revision.has_error()) {
            replyError(*exchange, revision.error());
            return;
        }
        const RulesHead &head = revision.value().head_;
        replyJson(*exchange, statusOk,
                  { { "version", head.stamp_.version_ }, { "hash", head.hash_ } });
    });
}

void RulesDuty::handleStatus(const std::shared_ptr<HttpExchange> &exchange)
{
    replyJson(*exchange, statusOk, dumpState());
}

nlohmann::json RulesDuty::dumpState() const
{
    const RulesStatus status = service_->status();
    return { { "instance", parts_.view_.self().id_.value() },
             { "rules_version", parts_.view_.rulesVersion() },
             { "known_version", status.digest_.known_.version_ },
             { "hash", status.hash_ },
             { "author", status.author_ },
             { "in_force", status.isInForce_ },
             { "accepted", status.isEstablished_ },
             { "polls_table", status.isPoller_ },
             { "voters", status.voterCount_ },
             { "confirmed_ms_ago", toMilliseconds(status.confirmationAge_) },
             { "table_ms_ago", toMilliseconds(status.tableAge_) } };
}

} // namespace qz
