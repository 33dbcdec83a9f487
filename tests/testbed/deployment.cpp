// The two users' deployments.
#include "testbed/deployment.h"

#include <nlohmann/json.hpp>

namespace qz::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

Location makePlace(const char *region, const char *failureDomain)
{
    return { RegionId(region), FailureDomainId(failureDomain) };
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json toJson(const PlannedKind &kind)
{
    return { { "name", kind.name_ },
             { "selector", { { "kind", kind.name_ } } },
             { "rank", kind.rank_ },
             { "deadline_ms", toMilliseconds(kind.deadline_) },
             { "worth", kind.worth_ },
             { "repeatable", kind.isRepeatable_ },
             { "servers", { { "service", kind.service_ } } } };
}

} // namespace

std::string Deployment::rulesDocument() const
{
    json document{ { "ranks", json::array() },      { "kinds", json::array() },
                   { "routes", json::array() },     { "services", json::array() },
                   { "workspaces", json::array() }, { "backend_servers", json::array() } };
    int order = 0;
    for (const PlannedRank &rank : ranks_) {
        document["ranks"].push_back({ { "name", rank.name_ },
                                      { "order", order++ },
                                      { "target_ms", toMilliseconds(rank.target_) },
                                      { "share", rank.share_ },
                                      { "worth", 1 } });
    }
    for (const PlannedKind &kind : kinds_) {
        document["kinds"].push_back(toJson(kind));
        document["routes"].push_back({ { "path_prefix", kind.path_ },
                                       { "method", kind.method_ },
                                       { "labels", { { "kind", kind.name_ } } } });
    }
    for (const std::string &service : services_) {
        document["services"].push_back({ { "name", service }, { "floor", floor_ } });
    }
    document["workspaces"].push_back({ { "name", name_ }, { "weight", 1 } });
    return document.dump();
}

Deployment makeNakhla()
{
    Deployment plan;
    plan.name_ = "nakhla";
    plan.places_ = { makePlace("alex", "alex-a"), makePlace("alex", "alex-b"),
                     makePlace("cairo", "cairo-a"), makePlace("cairo", "cairo-b") };
    plan.services_ = { "catalogue", "orders", "stock", "patterns" };
    plan.slots_ = 2;
    plan.ranks_ = { { "urgent", 300ms, 0.4 },
                    { "normal", 800ms, 0.3 },
                    { "relaxed", 3000ms, 0.15 } };
    plan.kinds_ = { { "order", "orders", "POST", "/orders", "urgent", 5000ms, false, 0.15, 10 },
                    { "stock", "stock", "GET", "/stock", "normal", 3000ms, true, 0.25, 2 },
                    { "view", "catalogue", "GET", "/catalogue", "relaxed", 10000ms, true, 0.35, 1 },
                    { "pattern", "patterns", "GET", "/patterns", "relaxed", 10000ms, true, 0.25,
                      1 } };
    return plan;
}

Deployment makeRedAndina()
{
    Deployment plan;
    plan.name_ = "red-andina";
    plan.places_ = { makePlace("sierra", "sierra-norte"), makePlace("sierra", "sierra-sur"),
                     makePlace("costa", "costa-puerto"), makePlace("costa", "costa-centro") };
    plan.services_ = { "busqueda", "pedidos", "seguimiento", "fichas" };
    plan.slots_ = 4;
    plan.ranks_ = { { "urgent", 250ms, 0.5 },
                    { "normal", 800ms, 0.25 },
                    { "relaxed", 3000ms, 0.1 } };
    plan.kinds_ = { { "search", "busqueda", "GET", "/busqueda", "urgent", 2000ms, true, 0.4, 4 },
                    { "loan", "pedidos", "POST", "/pedidos", "urgent", 5000ms, false, 0.1, 10 },
                    { "status", "seguimiento", "GET", "/seguimiento", "normal", 3000ms, true, 0.3,
                      2 },
                    { "record", "fichas", "GET", "/fichas", "relaxed", 10000ms, true, 0.2, 1 } };
    return plan;
}

} // namespace qz::testing
