// Settings from flags and environment variables.
#include "qz_core/settings/settingsreader.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <cctype>
#include <charconv>
#include <limits>
#include <string_view>

namespace qz {

namespace {

constexpr std::string_view variablePrefix = "QUETZALDALE_";

bool isIpNumber(const std::string &host)
{
    in_addr address{};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

std::optional<std::int64_t> toInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

SettingsReader::SettingsReader(Values flags, Values environment)
    : flags_(std::move(flags))
    , environment_(std::move(environment))
{
}

std::string SettingsReader::text(const std::string &name,
                                 const std::optional<std::string> &fallback)
{
    auto value = find(name);
    if (value) {
        return *value;
    }
    if (!fallback) {
        addProblem(name, "is required");
    }
    return fallback.value_or("");
}

std::uint16_t SettingsReader::port(const std::string &name, std::optional<std::uint16_t> fallback)
{
    return static_cast<std::uint16_t>(
            integer(name, 1, std::numeric_limits<std::uint16_t>::max(), fallback));
}

std::int64_t SettingsReader::integer(const std::string &name, std::int64_t lowest,
                                     std::int64_t highest, std::optional<std::int64_t> fallback)
{
    if (!find(name)) {
        if (!fallback) {
            addProblem(name, "is required");
        }
        return fallback.value_or(lowest);
    }
    return number(name, lowest, highest).value_or(lowest);
}

Duration SettingsReader::milliseconds(const std::string &name, Duration lowest, Duration highest,
                                      std::optional<Duration> fallback)
{
    using Milliseconds = std::chrono::milliseconds;
    const auto count = [](Duration duration) {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    };
    std::optional<std::int64_t> fallbackCount;
    if (fallback) {
        fallbackCount = count(*fallback);
    }
    return Milliseconds(integer(name, count(lowest), count(highest), fallbackCount));
}

Endpoint SettingsReader::endpoint(const std::string &name)
{
    const auto value = find(name);
    if (!value) {
        addProblem(name, "is required");
        return {};
    }
    const std::size_t colon = value->rfind(':');
    const std::string host = value->substr(0, colon);
    const auto port =
            colon == std::string::npos ? std::nullopt : toInteger(value->substr(colon + 1));
    if (!isIpNumber(host) || !port || *port < 1
        || *port > std::numeric_limits<std::uint16_t>::max()) {
        addProblem(name,
                   "must be an IP number and a port, like 127.0.0.1:8000, not \"" + *value + "\"");
        return {};
    }
    return Endpoint{ host, static_cast<std::uint16_t>(*port) };
}

void SettingsReader::addProblem(const std::string &name, const std::string &message)
{
    problems_.push_back("--" + name + " (" + variableName(name) + ") " + message);
}

std::string SettingsReader::variableName(const std::string &name)
{
    std::string variable(variablePrefix);
    for (const char c : name) {
        variable.push_back(
                c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    }
    return variable;
}

SettingsReader::Values SettingsReader::readEnvironment()
{
    Values values;
    for (char **entry = environ; *entry != nullptr; ++entry) {
        const std::string_view line(*entry);
        const std::size_t equals = line.find('=');
        if (line.substr(0, variablePrefix.size()) == variablePrefix
            && equals != std::string_view::npos) {
            values.emplace(line.substr(0, equals), line.substr(equals + 1));
        }
    }
    return values;
}

std::optional<std::string> SettingsReader::find(const std::string &name) const
{
    const auto flag = flags_.find(name);
    if (flag != flags_.end()) {
        return flag->second;
    }
    const auto variable = environment_.find(variableName(name));
    if (variable != environment_.end()) {
        return variable->second;
    }
    return std::nullopt;
}

std::optional<std::int64_t> SettingsReader::number(const std::string &name, std::int64_t lowest,
                                                   std::int64_t highest)
{
    const std::string value = find(name).value_or("");
    const auto parsed = toInteger(value);
    if (!parsed || *parsed < lowest || *parsed > highest) {
        addProblem(name,
                   "must be a whole number from " + std::to_string(lowest) + " to "
                           + std::to_string(highest) + ", not \"" + value + "\"");
        return std::nullopt;
    }
    return parsed;
}

} // namespace qz
