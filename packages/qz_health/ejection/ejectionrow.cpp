#include "qz_health/ejection/ejectionrow.h"

#include <nlohmann/json.hpp>

namespace qz {

namespace {

using Json = nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(EjectionPhase,
                             { { EjectionPhase::InService, "in-service" },
                               { EjectionPhase::Ejected, "ejected" },
                               { EjectionPhase::Readmitting, "readmitting" } })
NLOHMANN_JSON_SERIALIZE_ENUM(Withdrawal,
                             { { Withdrawal::None, "none" },
                               { Withdrawal::Draining, "draining" },
                               { Withdrawal::Leaving, "leaving" },
                               { Withdrawal::Gone, "gone" } })

Json entryToJson(const ServerEntry &entry)
{
    return Json{ { "phase", entry.phase_ },
                 { "withdrawal", entry.withdrawal_ },
                 { "strikes", entry.recentEjections_ },
                 { "hold_down_ms", entry.holdDown_.count() } };
}

ServerEntry entryFromJson(const Json &json)
{
    ServerEntry entry;
    entry.phase_ = json.at("phase").get<EjectionPhase>();
    entry.withdrawal_ = json.at("withdrawal").get<Withdrawal>();
    entry.recentEjections_ = json.at("strikes").get<unsigned>();
    entry.holdDown_ = std::chrono::milliseconds(json.at("hold_down_ms").get<std::int64_t>());
    return entry;
}

} // namespace

ServerEntry EjectionRow::entryOf(const BackendServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? ServerEntry() : found->second;
}

void EjectionRow::removeDefaultEntries()
{
    for (auto entry = servers_.begin(); entry != servers_.end();) {
        entry = entry->second.isDefault() ? servers_.erase(entry) : std::next(entry);
    }
}

std::string ejectionRowKey(const ServiceId &service)
{
    return "health/" + service.value();
}

std::string encodeEjectionRow(const EjectionRow &row)
{
    Json servers = Json::object();
    for (const auto &[server, entry] : row.servers_) {
        servers[server.value()] = entryToJson(entry);
    }
    return Json{ { "token", row.token_ }, { "servers", servers } }.dump();
}

Result<EjectionRow> decodeEjectionRow(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        EjectionRow row;
        row.token_ = json.at("token").get<std::string>();
        for (const auto &[server, entry] : json.at("servers").items()) {
            row.servers_[BackendServerId(server)] = entryFromJson(entry);
        }
        return row;
    } catch (const Json::exception &error) {
        return failure(ErrorKind::MalformedReply,
                       std::string("could not parse ejection row: ") + error.what());
    }
}

} // namespace qz
