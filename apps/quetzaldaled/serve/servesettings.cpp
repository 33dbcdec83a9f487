// Reads and checks the settings of an instance on the platform's store.
#include "quetzaldaled/serve/servesettings.h"

#include <sstream>

namespace qz {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t minKeyLength = 16;
constexpr std::int64_t maxInstancesPerEntry = 1000;

/// Reads the region of each failure domain from a list "domain=region,domain=region".
std::map<std::string, std::string> readRegions(SettingsReader &reader)
{
    std::map<std::string, std::string> regions;
    std::istringstream list(reader.text("failure-domains"));
    for (std::string entry; std::getline(list, entry, ',');) {
        const std::size_t equals = entry.find('=');
        if (equals == std::string::npos || equals == 0 || equals + 1 == entry.size()) {
            reader.addProblem("failure-domains", "must be a comma-separated list of domain=region");
            return regions;
        }
        regions[entry.substr(0, equals)] = entry.substr(equals + 1);
    }
    return regions;
}

/// Reads a number that is not negative.
double readNumber(SettingsReader &reader, const std::string &name, const std::string &fallback)
{
    const std::string text = reader.text(name, fallback);
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(value >= 0.0)) {
        reader.addProblem(name, "must be a number, 0 or above");
        return 0.0;
    }
    return value;
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ServeSettings ServeSettings::read(SettingsReader &reader)
{
    ServeSettings settings;
    settings.instanceId_ = InstanceId(reader.text("instance-id"));
    settings.location_.region_ = RegionId(reader.text("region"));
    settings.location_.failureDomain_ = FailureDomainId(reader.text("failure-domain"));
    settings.regions_ = readRegions(reader);
    settings.callerAddress_ = reader.endpoint("caller-address");
    settings.readyAddress_ = reader.endpoint("ready-address");
    settings.directoryAddress_ = reader.endpoint("directory-address");
    settings.metricsAddress_ = reader.endpoint("metrics-address");
    settings.peerAddress_ = reader.endpoint("peer-address");
    settings.storeAddress_ = reader.endpoint("store-address");
    settings.fleetKey_ = reader.text("fleet-key");
    if (!settings.fleetKey_.empty() && settings.fleetKey_.size() < minKeyLength) {
        reader.addProblem("fleet-key", "must have at least 16 characters");
    }
    settings.processorShare_ = readNumber(reader, "processor-share", "1");
    settings.linkCapacity_ = readNumber(reader, "link-capacity-mbps", "10");
    if (settings.linkCapacity_ == 0.0) {
        reader.addProblem("link-capacity-mbps", "must be above 0");
    }
    settings.instancesPerEntry_ = static_cast<std::size_t>(
            reader.integer("instances-per-entry", 1, maxInstancesPerEntry, 16));
    settings.retryBudget_.ratio_ = readNumber(reader, "retry-budget-ratio", "0.2");
    settings.retryBudget_.slack_ = readNumber(reader, "retry-budget-slack", "10");
    settings.retryBudget_.window_ = toDuration(readNumber(reader, "retry-budget-window-s", "10"));
    settings.addressKeepTime_ = toDuration(readNumber(reader, "address-keep-s", "1"));
    settings.stopLimit_ = toDuration(readNumber(reader, "stop-limit-s", "6"));
    const auto level = parseLogLevel(reader.text("log-level", "info"));
    if (level.has_error()) {
        reader.addProblem("log-level", level.error().message_);
    } else {
        settings.logLevel_ = level.value();
    }
    return settings;
}

nlohmann::json ServeSettings::toJson() const
{
    return { { "instance-id", instanceId_.value() },
             { "region", location_.region_.value() },
             { "failure-domain", location_.failureDomain_.value() },
             { "failure-domains", regions_ },
             { "caller-address", toString(callerAddress_) },
             { "ready-address", toString(readyAddress_) },
             { "directory-address", toString(directoryAddress_) },
             { "metrics-address", toString(metricsAddress_) },
             { "peer-address", toString(peerAddress_) },
             { "store-address", toString(storeAddress_) },
             { "processor-share", processorShare_ },
             { "link-capacity-mbps", linkCapacity_ },
             { "instances-per-entry", instancesPerEntry_ },
             { "retry-budget-ratio", retryBudget_.ratio_ },
             { "retry-budget-slack", retryBudget_.slack_ },
             { "retry-budget-window-s", toSeconds(retryBudget_.window_) },
             { "address-keep-s", toSeconds(addressKeepTime_) },
             { "stop-limit-s", toSeconds(stopLimit_) } };
}

} // namespace qz
