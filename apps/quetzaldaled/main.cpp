// The daemon's program: reads settings, then runs one Daemon until it is told to stop.
#include "quetzaldaled/daemon.h"

#include <docopt/docopt.h>

#include <iostream>
#include <map>

namespace {

constexpr int exitInvalidSettings = 2;

constexpr const char *usage = R"(quetzaldaled: one instance of the quetzaldale proxy fleet

Usage:
  quetzaldaled [options]

Every option may also be given as an environment variable: --peer-address is
QUETZALDALE_PEER_ADDRESS. An option goes before its variable. The two secrets
are taken from the environment only: QUETZALDALE_FLEET_KEY, shared by all
instances, and QUETZALDALE_OPERATOR_TOKEN; 16 characters at least.

Options:
  --instance-id=ID            name of this instance, as the platform lists it
  --region=NAME               where this instance stands
  --failure-domain=NAME       where in the region
  --caller-address=IP:PORT    listens for callers and operators, by HTTP
  --peer-address=IP:PORT      listens for other instances
  --platform-address=IP:PORT  the platform's table, object store and list
  --platform-timeout-ms=N     deadline of each call to the platform; 1000
  --address-keep-ms=N         how long callers keep an address; 10000
  --gate-drain-grace-ms=N     from leaving until its gates take nothing new; 2000
  --drain-grace-ms=N          from leaving until it takes no callers; 11000
  --drain-limit-ms=N          from leaving until it stops in any case; 40000
  --rules-limit-ms=N          refuses new work without proof of its rules for so
                              long; 5000
  --body-limit-bytes=N        largest body of a request; 1048576
  --log-level=LEVEL           debug, info, warning or error; info
  --print-settings            prints the settings without the secrets, and ends
  -h --help                   prints this text

Signals: SIGTERM and SIGINT leave the fleet gracefully; SIGUSR1 writes a state
dump to the log. Exit status: 0 after a graceful stop, 2 for bad settings, 3 if
the drain limit was reached with requests in flight.
)";

qz::SettingsReader::Values readFlags(int argc, char **argv)
{
    qz::SettingsReader::Values flags;
    for (const auto &[name, value] : docopt::docopt(usage, { argv + 1, argv + argc }, true)) {
        if (value.isString()) {
            flags.emplace(name.substr(2), value.asString());
        } else if (value.isBool() && value.asBool()) {
            flags.emplace(name.substr(2), "true");
        }
    }
    return flags;
}

} // namespace

int main(int argc, char **argv)
{
    const auto flags = readFlags(argc, argv);
    qz::SettingsReader reader(flags, qz::SettingsReader::readEnvironment());
    const auto settings = qz::DaemonSettings::read(reader);
    for (const std::string &problem : reader.problems()) {
        std::cerr << problem << "\n";
    }
    if (!reader.problems().empty()) {
        return exitInvalidSettings;
    }
    if (flags.count("print-settings") > 0) {
        std::cout << settings.toJson().dump(2) << "\n";
        return 0;
    }
    const qz::LogSession logs(settings.logLevel_, settings.instanceId_.value());
    qz::Daemon daemon(settings);
    return daemon.run();
}
