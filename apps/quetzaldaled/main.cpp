// The program of the daemon: reads the settings, then runs one instance until it has stopped.
#include "quetzaldaled/daemon.h"
#include "quetzaldaled/serve/servedaemon.h"
#include "qz_core/loop/heldsignals.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <map>

namespace {

constexpr int exitInvalidSettings = 2;

constexpr const char *usage = R"(quetzaldaled: one instance of the quetzaldale proxy fleet

Usage:
  quetzaldaled serve [options]
  quetzaldaled [options]

"quetzaldaled serve --help" lists the options of an instance on the platform's
store; those below are of an instance with its own rules and backend list.

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

constexpr const char *serveUsage = R"(quetzaldaled serve: one instance on the platform's store

Usage:
  quetzaldaled serve [options]

Every option may also be given as an environment variable: --peer-address is
QUETZALDALE_PEER_ADDRESS. An option goes before its variable. The secret is
taken from the environment only: QUETZALDALE_FLEET_KEY, shared by all
instances; 16 characters at least.

Options:
  --instance-id=ID            name of this instance
  --region=NAME               where this instance stands
  --failure-domain=NAME       where in the region
  --failure-domains=LIST      all of them, as domain=region,domain=region
  --caller-address=IP:PORT    listens for callers' requests
  --ready-address=IP:PORT     listens for questions whether it is ready
  --directory-address=IP:PORT listens for callers that ask where to connect
  --metrics-address=IP:PORT   serves Prometheus metrics at /metrics
  --peer-address=IP:PORT      listens for other instances
  --store-address=IP:PORT     the platform's store
  --processor-share=X         part of a core that it may use; larger ones take
                              callers first; 1
  --link-capacity-mbps=X      what its network link carries; wider ones send long
                              tables on; 10
  --instances-per-entry=N     callers of a failure domain use one instance of each
                              N, rounded up; 16
  --retry-budget-ratio=X      second tries for each request, all instances; 0.2
  --retry-budget-slack=X      second tries on top in each window; 10
  --retry-budget-window-s=X   the window of the two; 10
  --address-keep-s=X          how long callers keep an address; 1
  --stop-limit-s=X            from the signal to stop until it ends at last; 6
  --log-level=LEVEL           debug, info, warning or error; info
  --print-settings            prints the settings without the secret, and ends
  -h --help                   prints this text

Signals: SIGTERM and SIGINT stop the instance gracefully; SIGUSR1 writes a
state dump to the log; SIGHUP is logged and changes nothing. Exit status: 0
after a stop, 2 for bad settings or an address that cannot be had.
)";

/// Returns the values of the given flags by name, without their dashes.
qz::SettingsReader::Values readFlags(const char *text, int argc, char **argv)
{
    qz::SettingsReader::Values flags;
    for (const auto &[name, value] : docopt::docopt(text, { argv + 1, argv + argc }, true)) {
        if (name.substr(0, 2) != "--") {
            continue;
        }
        if (value.isString()) {
            flags.emplace(name.substr(2), value.asString());
        } else if (value.isBool() && value.asBool()) {
            flags.emplace(name.substr(2), "true");
        }
    }
    return flags;
}

/// Reads the settings and runs a daemon of either kind. Returns the exit status.
template<typename Settings, typename DaemonType>
int runDaemon(const qz::SettingsReader::Values &flags)
{
    qz::SettingsReader reader(flags, qz::SettingsReader::readEnvironment());
    const auto settings = Settings::read(reader);
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
    DaemonType daemon(settings);
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    qz::holdSignals();
    const bool isServing = argc > 1 && std::string_view(argv[1]) == "serve";
    if (isServing) {
        const int status =
                runDaemon<qz::ServeSettings, qz::ServeDaemon>(readFlags(serveUsage, argc, argv));
        std::cout.flush();
        // A normal exit waits for the idle threads of the logging library. These may not be
        // scheduled before the process is killed.
        std::quick_exit(status);
    }
    return runDaemon<qz::DaemonSettings, qz::Daemon>(readFlags(usage, argc, argv));
}
