// The HTTP endpoints for operators and metrics.
#include "qz_proxy/operators/operatorservice.h"

#include <openssl/crypto.h>

#include <string_view>
#include <utility>

namespace qz {

namespace {

constexpr std::string_view operatorPrefix = "/operator/";
constexpr std::string_view metricsPath = "/metrics";
constexpr std::string_view requestsPrefix = "/operator/requests/";
constexpr int statusOk = 200;

std::string pathWithoutQuery(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

void replyJson(HttpExchange &exchange, int status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status_ = status;
    response.headers_.add("Content-Type", "application/json");
    response.body_ = body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    exchange.reply(response);
}

void replyError(HttpExchange &exchange, const Error &error)
{
    replyJson(exchange, answerOf(error.kind_).httpStatus_,
              { { "error", toString(error.kind_) }, { "message", error.message_ } });
}

OperatorService::OperatorService(std::string token, const FleetState &fleetState,
                                 const RequestJournal &journal, const ProxyMetrics &metrics)
    : token_(std::move(token))
    , fleetState_(fleetState)
    , journal_(journal)
    , metrics_(metrics)
{
}

bool OperatorService::isOperatorPath(const std::string &target)
{
    return startsWith(target, operatorPrefix) || pathWithoutQuery(target) == metricsPath;
}

void OperatorService::handle(const std::shared_ptr<HttpExchange> &exchange) const
{
    const std::string path = pathWithoutQuery(exchange->request().target_);
    if (path == metricsPath) {
        HttpResponse response;
        response.headers_.add("Content-Type", "text/plain; version=0.0.4");
        response.body_ = metrics_.format();
        exchange->reply(response);
        return;
    }
    if (!isAuthorized(*exchange)) {
        replyError(*exchange,
                   { ErrorKind::Unauthorized, "the operator token is missing or wrong" });
        return;
    }
    route(path, exchange);
}

bool OperatorService::isAuthorized(const HttpExchange &exchange) const
{
    const std::string expected = "Bearer " + token_;
    const std::string given = exchange.request().headers_.find("Authorization").value_or("");
    return given.size() == expected.size()
            && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void OperatorService::route(const std::string &path,
                            const std::shared_ptr<HttpExchange> &exchange) const
{
    if (path == "/operator/rules" && rulesHandler_) {
        rulesHandler_(exchange);
    } else if (path == "/operator/status" && statusHandler_) {
        statusHandler_(exchange);
    } else if (path == "/operator/dump" && dumpProvider_) {
        replyJson(*exchange, statusOk, dumpProvider_());
    } else if (path == "/operator/backends") {
        replyJson(*exchange, statusOk, backends());
    } else if (path == "/operator/instances") {
        replyJson(*exchange, statusOk, instances());
    } else if (startsWith(path, requestsPrefix)) {
        explain(path.substr(requestsPrefix.size()), *exchange);
    } else {
        replyError(*exchange, { ErrorKind::NotFound, "no such operator path" });
    }
}

nlohmann::json OperatorService::backends() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, server] : fleetState_.directory().all()) {
        const auto &gates = fleetState_.gateMap().gatesOf(server->listed_);
        list.push_back({ { "id", id.value() },
                         { "service", server->service_.value() },
                         { "endpoint", toString(server->listed_.endpoint_) },
                         { "failure_domain", server->listed_.location_.failureDomain_.value() },
                         { "labels", server->labels_ },
                         { "slots", server->listed_.slots_ },
                         { "leaving", server->isLeaving() },
                         { "gate", gates.empty() ? "" : gates.front().value() } });
    }
    return { { "backend_servers", list }, { "rules_version", fleetState_.rulesVersion() } };
}

nlohmann::json OperatorService::instances() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Member &member : fleetState_.members()) {
        list.push_back({ { "id", member.id_.value() },
                         { "state", toString(member.state_) },
                         { "caller_endpoint", toString(member.callerEndpoint_) },
                         { "peer_endpoint", toString(member.peerEndpoint_) },
                         { "failure_domain", member.location_.failureDomain_.value() } });
    }
    return { { "instances", list } };
}

void OperatorService::explain(const std::string &id, HttpExchange &exchange) const
{
    const auto record = journal_.find(RequestId(id));
    if (!record) {
        replyError(exchange,
                   { ErrorKind::NotFound, "this instance does not remember that request" });
        return;
    }
    replyJson(exchange, statusOk, record->toJson());
}

} // namespace qz
