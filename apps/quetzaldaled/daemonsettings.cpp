// Reads and checks the settings of an instance with its own rules.
#include "quetzaldaled/daemonsettings.h"

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t minSecretLength = 16;
constexpr std::int64_t minBodyLimitBytes = 1024;
/// A body must fit into one frame of the links between instances.
constexpr std::int64_t maxBodyLimitBytes = 1024L * 1024;
constexpr Duration maxDrainTime = 24h;

std::string readSecret(SettingsReader &reader, const std::string &name)
{
    std::string secret = reader.text(name);
    if (!secret.empty() && secret.size() < minSecretLength) {
        reader.addProblem(name,
                          "must have at least " + std::to_string(minSecretLength) + " characters");
    }
    return secret;
}

/// Reports settings that contradict each other.
void checkConsistency(const DaemonSettings &settings, SettingsReader &reader)
{
    if (settings.callerAddress_ == settings.peerAddress_ && settings.callerAddress_.port_ != 0) {
        reader.addProblem("peer-address", "must differ from --caller-address");
    }
    if (settings.gateDrainGrace_ > settings.drainGrace_) {
        reader.addProblem("gate-drain-grace-ms", "must not be above --drain-grace-ms");
    }
    if (settings.drainGrace_ < settings.addressKeepTime_) {
        reader.addProblem("drain-grace-ms", "must not be below --address-keep-ms");
    }
    if (settings.drainGrace_ > settings.drainLimit_) {
        reader.addProblem("drain-limit-ms", "must not be below --drain-grace-ms");
    }
}

} // namespace

DaemonSettings DaemonSettings::read(SettingsReader &reader)
{
    DaemonSettings settings;
    settings.instanceId_ = InstanceId(reader.text("instance-id"));
    settings.location_.region_ = RegionId(reader.text("region"));
    settings.location_.failureDomain_ = FailureDomainId(reader.text("failure-domain"));
    settings.callerAddress_ = reader.endpoint("caller-address");
    settings.peerAddress_ = reader.endpoint("peer-address");
    settings.platformAddress_ = reader.endpoint("platform-address");
    settings.fleetKey_ = readSecret(reader, "fleet-key");
    settings.operatorToken_ = readSecret(reader, "operator-token");
    settings.platformTimeout_ = reader.milliseconds("platform-timeout-ms", 10ms, 60s, 1s);
    settings.addressKeepTime_ = reader.milliseconds("address-keep-ms", 100ms, 10min, 10s);
    settings.gateDrainGrace_ = reader.milliseconds("gate-drain-grace-ms", 0ms, 10min, 2s);
    settings.drainGrace_ = reader.milliseconds("drain-grace-ms", 0ms, maxDrainTime, 11s);
    settings.drainLimit_ = reader.milliseconds("drain-limit-ms", 0ms, maxDrainTime, 40s);
    settings.rulesLimit_ = reader.milliseconds("rules-limit-ms", 1s, 60s, 5s);
    settings.bodyLimitBytes_ = static_cast<std::size_t>(reader.integer(
            "body-limit-bytes", minBodyLimitBytes, maxBodyLimitBytes, maxBodyLimitBytes));
    const auto level = parseLogLevel(reader.text("log-level", "info"));
    if (level.has_error()) {
        reader.addProblem("log-level", level.error().message_);
    } else {
        settings.logLevel_ = level.value();
    }
    checkConsistency(settings, reader);
    return settings;
}

nlohmann::json DaemonSettings::toJson() const
{
    return { { "instance-id", instanceId_.value() },
             { "region", location_.region_.value() },
             { "failure-domain", location_.failureDomain_.value() },
             { "caller-address", toString(callerAddress_) },
             { "peer-address", toString(peerAddress_) },
             { "platform-address", toString(platformAddress_) },
             { "platform-timeout-ms", toMilliseconds(platformTimeout_) },
             { "address-keep-ms", toMilliseconds(addressKeepTime_) },
             { "gate-drain-grace-ms", toMilliseconds(gateDrainGrace_) },
             { "drain-grace-ms", toMilliseconds(drainGrace_) },
             { "drain-limit-ms", toMilliseconds(drainLimit_) },
             { "rules-limit-ms", toMilliseconds(rulesLimit_) },
             { "body-limit-bytes", bodyLimitBytes_ } };
}

} // namespace qz
