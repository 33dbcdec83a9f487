// Sends and receives the rules' messages and serves the operators' endpoints.
#include "quetzaldaled/rulesadapter.h"

#include "quetzaldaled/rulesmessages.h"
#include "qz_core/logging/logger.h"
#include "qz_proxy/operators/operatorservice.h"

#include <random>
#include <utility>

namespace qz {

namespace {

constexpr const char *authorHeader = "Quetzaldale-Author";

void reply(HttpExchange &exchange, const RulesReply &rules)
{
    HttpResponse response;
    response.status_ = rules.status_;
    response.headers_.add("Content-Type", "application/json");
    if (rules.version_) {
        response.headers_.add("ETag", "\"" + std::to_string(*rules.version_) + "\"");
    }
    response.body_ = rules.body_;
    exchange.reply(response);
}

} // namespace

RulesAdapter::RulesAdapter(const Parts &parts, std::string incarnation, Duration inForceLimit)
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
    builder.setSelf(makeVoterId(parts.fleetState_.self().id_, incarnation_));
    builder.setTable(parts.table_);
    builder.setObjects(parts.objects_);
    builder.setClock(parts.loop_);
    builder.setTimers(parts.loop_);
    builder.setSettings(settings);
    builder.setSeed(std::random_device{}());
    builder.setCallbacks(callbacks);
    service_ = builder.build();
    operations_ = std::make_unique<RulesOperations>(*service_);
    parts_.links_.setHandler(MessageKind::RulesRequest,
                             [this](const InstanceId &from, std::string_view payload) {
                                 handleRequest(from, payload);
                             });
    parts_.links_.setHandler(MessageKind::RulesAnswer,
                             [this](const InstanceId &from, std::string_view payload) {
                                 handleAnswer(from, payload);
                             });
    parts_.fleetState_.setInForceCheck([this] { return service_->inForce().has_value(); });
}

void RulesAdapter::setMembers(const std::vector<Member> &members)
{
    std::vector<VoterId> voters;
    for (const Member &member : members) {
        const bool isOther = member.id_ != parts_.fleetState_.self().id_;
        if (isOther && member.state_ == MemberState::Live && !member.incarnation_.empty()) {
            voters.push_back(makeVoterId(member.id_, member.incarnation_));
        }
    }
    service_->setMembers(std::move(voters));
}

void RulesAdapter::setListed(const InstanceListing &listing)
{
    std::set<InstanceId> listed;
    for (const ListedInstance &instance : listing.instances_) {
        listed.insert(instance.id_);
    }
    service_->setListed(listed);
}

void RulesAdapter::send(const VoterId &to, MessageKind kind, std::string payload)
{
    // A message that cannot be sent is lost; the service sends its request again.
    (void)parts_.links_.send(instanceOf(to), kind, std::move(payload));
}

void RulesAdapter::handleRequest(const InstanceId &from, std::string_view payload)
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

void RulesAdapter::handleAnswer(const InstanceId &from, std::string_view payload)
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

void RulesAdapter::adopt(const RulesRevision &revision)
{
    const RulesVersion version = revision.head_.stamp_.version_;
    parts_.fleetState_.adoptRules(version, revision.rules_);
    log(LogLevel::Info, "rules-adopted",
        { { "version", version }, { "hash", revision.head_.hash_ } });
}

void RulesAdapter::handleRules(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().method_ != "PUT") {
        reply(*exchange, operations_->get());
        return;
    }
    const HttpRequest &request = exchange->request();
    RulesPut put;
    put.ifMatch_ = request.headers_.find("If-Match");
    put.document_ = request.body_;
    put.author_ = request.headers_.find(authorHeader).value_or("unknown");
    put.attemptToken_ = request.headers_.find("Idempotency-Key").value_or("");
    operations_->put(std::move(put),
                     [exchange](const RulesReply &rules) { reply(*exchange, rules); });
}

void RulesAdapter::handleStatus(const std::shared_ptr<HttpExchange> &exchange)
{
    constexpr int statusOk = 200;
    replyJson(*exchange, statusOk, dumpState());
}

nlohmann::json RulesAdapter::dumpState() const
{
    auto state = operations_->describe();
    state["instance"] = parts_.fleetState_.self().id_.value();
    // The version by which requests are classified at this time.
    state["rules_version"] = parts_.fleetState_.rulesVersion();
    return state;
}

} // namespace qz
