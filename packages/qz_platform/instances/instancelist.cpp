// The platform's list as JSON.
#include "qz_platform/instances/instancelist.h"

#include <nlohmann/json.hpp>

namespace qz {

namespace {

using nlohmann::json;

json toJson(const Endpoint &endpoint)
{
    return json{ { "host", endpoint.host_ }, { "port", endpoint.port_ } };
}

Endpoint toEndpoint(const json &in)
{
    return Endpoint{ in.at("host").get<std::string>(), in.at("port").get<std::uint16_t>() };
}

json toJson(ListedState state)
{
    return state == ListedState::Leaving ? "leaving" : "live";
}

ListedState toState(const json &in)
{
    return in.get<std::string>() == "leaving" ? ListedState::Leaving : ListedState::Live;
}

void addLocation(json &out, const Location &location)
{
    out["region"] = location.region_.value();
    out["failure_domain"] = location.failureDomain_.value();
}

Location toLocation(const json &in)
{
    return Location{ RegionId(in.at("region").get<std::string>()),
                     FailureDomainId(in.at("failure_domain").get<std::string>()) };
}

json toJson(const ListedInstance &instance)
{
    json out{ { "id", instance.id_.value() },
              { "caller_endpoint", toJson(instance.callerEndpoint_) },
              { "peer_endpoint", toJson(instance.peerEndpoint_) },
              { "state", toJson(instance.state_) } };
    addLocation(out, instance.location_);
    return out;
}

ListedInstance toInstance(const json &in)
{
    ListedInstance instance;
    instance.id_ = InstanceId(in.at("id").get<std::string>());
    instance.location_ = toLocation(in);
    instance.callerEndpoint_ = toEndpoint(in.at("caller_endpoint"));
    instance.peerEndpoint_ = toEndpoint(in.at("peer_endpoint"));
    instance.state_ = toState(in.at("state"));
    return instance;
}

json toJson(const ListedBackendServer &server)
{
    json out{ { "id", server.id_.value() },
              { "endpoint", toJson(server.endpoint_) },
              { "labels", server.labels_ },
              { "slots", server.slots_ },
              { "connection_limit", server.connectionLimit_ },
              { "state", toJson(server.state_) } };
    addLocation(out, server.location_);
    return out;
}

ListedBackendServer toBackendServer(const json &in)
{
    ListedBackendServer server;
    server.id_ = BackendServerId(in.at("id").get<std::string>());
    server.location_ = toLocation(in);
    server.endpoint_ = toEndpoint(in.at("endpoint"));
    server.labels_ = in.at("labels").get<Labels>();
    server.slots_ = in.at("slots").get<int>();
    server.connectionLimit_ = in.at("connection_limit").get<int>();
    server.state_ = toState(in.at("state"));
    return server;
}

} // namespace

Result<InstanceListing> parseInstanceListing(const std::string &text)
{
    try {
        const json in = json::parse(text);
        InstanceListing listing;
        for (const json &instance : in.at("instances")) {
            listing.instances_.push_back(toInstance(instance));
        }
        for (const json &server : in.at("backend_servers")) {
            listing.backendServers_.push_back(toBackendServer(server));
        }
        return listing;
    } catch (const json::exception &error) {
        return failure(ErrorKind::MalformedReply, error.what());
    }
}

std::string formatInstanceListing(const InstanceListing &listing)
{
    json out{ { "instances", json::array() }, { "backend_servers", json::array() } };
    for (const ListedInstance &instance : listing.instances_) {
        out["instances"].push_back(toJson(instance));
    }
    for (const ListedBackendServer &server : listing.backendServers_) {
        out["backend_servers"].push_back(toJson(server));
    }
    return out.dump();
}

} // namespace qz
