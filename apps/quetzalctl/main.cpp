// quetzalctl: the operators' command.
#include "commands.h"

#include "qz_core/settings/settingsreader.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <map>
#include <string>

namespace {

using namespace std::chrono_literals;

constexpr const char *usage = R"(quetzalctl drives a quetzaldale fleet by labels and selectors.

Usage:
  quetzalctl rules get [options]
  quetzalctl rules check FILE [options]
  quetzalctl rules put FILE --if-match=VERSION [options]
  quetzalctl rules status [options]
  quetzalctl backends [options]
  quetzalctl instances [options]
  quetzalctl drain SERVER [options]
  quetzalctl undrain SERVER [options]
  quetzalctl dump INSTANCE [options]
  quetzalctl requests explain ID [options]
  quetzalctl (-h | --help)

Commands:
  rules get         Print the rules document; its version goes to standard error.
  rules check       Check a document without any instance.
  rules put         Make a document the next version, if VERSION is still the newest.
  rules status      Print the version that the instance runs, and whether it is in force.
  backends          List the backend servers with their labels and gates.
  instances         List the instances of the fleet.
  drain, undrain    Set the label drain of a backend server to true or false, by rules put.
  dump              Print the state of an instance, by its id.
  requests explain  Print what became of a request that the instance answered.

Options:
  --instance=ADDRESS  IP number and port of any instance [env: QUETZALDALE_INSTANCE].
  --timeout-ms=N      How long to wait for an answer [env: QUETZALDALE_TIMEOUT_MS]
                      (30000 if not set).
  --author=NAME       Who makes the change [env: QUETZALDALE_AUTHOR].
  --output=FORMAT     text or json [default: text].
  -h --help           Print this.

Environment:
  QUETZALDALE_OPERATOR_TOKEN  The operators' token; there is no flag for it.

Exit codes:
  0  done
  1  the instance reported an error that is none of the following
  2  bad arguments, settings or file; nothing was sent
  3  the rules document is bad; nothing was changed
  4  somebody else changed the rules first; nothing was changed
  5  not reached, or refused for now; nothing was changed
  6  the change may or may not have been made: ask rules status
  7  not found
  8  the token is missing or wrong
)";

constexpr const char *tokenSetting = "operator-token"; ///< From the environment only.

using Arguments = std::map<std::string, docopt::value>;

bool isGiven(const Arguments &arguments, const std::string &command)
{
    const auto found = arguments.find(command);
    return found != arguments.end() && found->second && found->second.isBool()
            && found->second.asBool();
}

std::string textOf(const Arguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second && found->second.isString()
            ? found->second.asString()
            : "";
}

qz::SettingsReader::Values flagsOf(const Arguments &arguments)
{
    qz::SettingsReader::Values flags;
    for (const std::string name : { "instance", "timeout-ms", "author" }) {
        const std::string value = textOf(arguments, "--" + name);
        if (!value.empty()) {
            flags[name] = value;
        }
    }
    return flags;
}

qz::ExitCode run(const Arguments &arguments, const qz::Commands &commands,
                 const std::string &author)
{
    if (isGiven(arguments, "get")) {
        return commands.getRules();
    }
    if (isGiven(arguments, "put")) {
        return commands.putRules(textOf(arguments, "FILE"), textOf(arguments, "--if-match"),
                                 author);
    }
    if (isGiven(arguments, "status")) {
        return commands.show("/operator/status");
    }
    if (isGiven(arguments, "backends")) {
        return commands.show("/operator/backends");
    }
    if (isGiven(arguments, "instances")) {
        return commands.show("/operator/instances");
    }
    if (isGiven(arguments, "dump")) {
        return commands.dump(textOf(arguments, "INSTANCE"));
    }
    if (isGiven(arguments, "explain")) {
        return commands.show("/operator/requests/" + textOf(arguments, "ID"));
    }
    return commands.setDrain(textOf(arguments, "SERVER"), isGiven(arguments, "drain"), author);
}

qz::ExitCode callInstance(const Arguments &arguments, const qz::Output &output)
{
    constexpr qz::Duration shortest = 1ms;
    constexpr qz::Duration longest = 10min;
    constexpr qz::Duration usual = 30s;
    qz::SettingsReader reader(flagsOf(arguments), qz::SettingsReader::readEnvironment());
    qz::OperatorClientSettings settings;
    settings.instance_ = reader.endpoint("instance");
    settings.timeout_ = reader.milliseconds("timeout-ms", shortest, longest, usual);
    settings.token_ = reader.text(tokenSetting, "");
    const std::string author = reader.text("author", "");
    std::string problems;
    if (settings.token_.empty()) {
        problems = qz::SettingsReader::variableName(tokenSetting) + " is required";
    }
    for (const std::string &problem : reader.problems()) {
        problems += (problems.empty() ? "" : "\n") + problem;
    }
    if (!problems.empty()) {
        return output.fail({ qz::ErrorKind::InvalidSettings, problems });
    }
    const qz::OperatorClient client(std::move(settings));
    return run(arguments, qz::Commands(client, output), author);
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    try {
        arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::fputs(usage, stdout);
        return static_cast<int>(qz::ExitCode::Ok);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\nSee quetzalctl --help.\n", error.what());
        return static_cast<int>(qz::ExitCode::Usage);
    }
    const std::string format = textOf(arguments, "--output");
    const qz::Output output(format == "json");
    if (format != "json" && format != "text") {
        const qz::Error error{ qz::ErrorKind::InvalidSettings, "--output must be text or json" };
        return static_cast<int>(output.fail(error));
    }
    const qz::ExitCode code = isGiven(arguments, "check")
            ? qz::checkRules(textOf(arguments, "FILE"), output)
            : callInstance(arguments, output);
    return static_cast<int>(code);
}
