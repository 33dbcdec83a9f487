// The HTTP endpoints for operators and metrics.
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

/// Serves /metrics without authorization, and the paths under /operator/ to requests with the
/// operator token. The token is compared in constant time, and is never logged or dumped.
class OperatorService
{
public:
    /// Responds to an authorized exchange.
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    OperatorService(std::string token, const FleetState &fleetState, const RequestJournal &journal,
                    const ProxyMetrics &metrics);
    OperatorService(const OperatorService &) = delete;
    OperatorService &operator=(const OperatorService &) = delete;

    /// Returns whether this service handles @p target: /metrics or a path under /operator/.
    static bool isOperatorPath(const std::string &target);

    void handle(const std::shared_ptr<HttpExchange> &exchange) const;

    /// Sets the function that provides the JSON body for /operator/dump.
    void setDumpProvider(std::function<nlohmann::json()> provider)
    {
        dumpProvider_ = std::move(provider);
    }

    /// Set the handlers of /operator/rules and /operator/status.
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
    std::function<nlohmann::json()> dumpProvider_;
    Handler rulesHandler_;
    Handler statusHandler_;
};

/// Sends a JSON response.
void replyJson(HttpExchange &exchange, int status, const nlohmann::json &body);

/// Sends the HTTP status of @p error, with its name and message as JSON.
void replyError(HttpExchange &exchange, const Error &error);

} // namespace qz
