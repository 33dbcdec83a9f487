// The endpoints for operators and for metrics.
#pragma once

#include "qz_http/server/httpexchange.h"
#include "qz_proxy/observability/proxymetrics.h"
#include "qz_proxy/observability/requestjournal.h"
#include "qz_proxy/state/fleetstate.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace qz {

/// Serves /metrics to anybody and the paths under /operator/ to whoever shows the token.
/// The token is compared in constant time and is never logged or dumped.
class OperatorService
{
public:
    /// Called with an exchange whose token was good; answers it.
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    OperatorService(std::string token, const FleetState &view, const RequestJournal &journal,
                    const ProxyMetrics &metrics);
    OperatorService(const OperatorService &) = delete;
    OperatorService &operator=(const OperatorService &) = delete;

    /// Whether this path belongs to operators.
    static bool isOperatorPath(const std::string &target);

    void handle(const std::shared_ptr<HttpExchange> &exchange) const;

    /// Sets what GET /operator/dump answers.
    void setDumpProvider(std::function<nlohmann::json()> dump) { dump_ = std::move(dump); }

    /// Sets what GET and PUT /operator/rules and GET /operator/status do.
    void setRulesHandler(Handler handler) { rulesHandler_ = std::move(handler); }
    void setStatusHandler(Handler handler) { statusHandler_ = std::move(handler); }

private:
    bool isAuthorized(const HttpExchange &exchange) const;
    void route(const std::string &path, const std::shared_ptr<HttpExchange> &exchange) const;
    nlohmann::json backends() const;
    nlohmann::json instances() const;
    void explain(const std::string &id, HttpExchange &exchange) const;

    const std::string token_;
    const FleetState &fleetState_;
    const RequestJournal &journal_;
    const ProxyMetrics &metrics_;
    std::function<nlohmann::json()> dump_;
    Handler rulesHandler_;
    Handler statusHandler_;
};

/// Answers @p exchange with JSON.
void replyJson(HttpExchange &exchange, int status, const nlohmann::json &body);

/// Answers @p exchange with the status of an error and its name and message as JSON.
void replyError(HttpExchange &exchange, const Error &error);

} // namespace qz
