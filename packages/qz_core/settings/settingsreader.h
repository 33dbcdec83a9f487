// Settings from flags and environment variables, checked all at once: every bad setting is
// reported in one run, and nothing starts if there is one.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace qz {

/// Reads typed settings by name. A setting "peer-port" comes from the flag --peer-port, or
/// else from the environment variable QUETZALDALE_PEER_PORT, or else from its default.
/// Each failed read is kept as a problem and yields a placeholder, so that a caller reads
/// everything first and asks for problems() once.
class SettingsReader
{
public:
    using Values = std::map<std::string, std::string>;

    /// @p flags maps the name of each given flag, without its dashes, to its text.
    SettingsReader(Values flags, Values environment);

    std::string text(const std::string &name,
                     const std::optional<std::string> &fallback = std::nullopt);
    std::uint16_t port(const std::string &name,
                       std::optional<std::uint16_t> fallback = std::nullopt);
    std::int64_t integer(const std::string &name, std::int64_t lowest, std::int64_t highest,
                         std::optional<std::int64_t> fallback = std::nullopt);
    /// Reads a whole number of milliseconds.
    Duration milliseconds(const std::string &name, Duration lowest, Duration highest,
                          std::optional<Duration> fallback = std::nullopt);
    /// Reads "a.b.c.d:port", an IP number and a port other than 0.
    Endpoint endpoint(const std::string &name);

    /// Adds a problem found by the caller, such as two settings that contradict each other.
    void addProblem(const std::string &name, const std::string &message);

    /// One line for each problem; empty if all settings are good.
    const std::vector<std::string> &problems() const { return problems_; }

    /// The variable that stands for the flag @p name.
    static std::string variableName(const std::string &name);

    /// The process's environment, those variables only that start with QUETZALDALE_.
    static Values readEnvironment();

private:
    std::optional<std::string> find(const std::string &name) const;
    std::optional<std::int64_t> number(const std::string &name, std::int64_t lowest,
                                       std::int64_t highest);

    Values flags_;
    Values environment_;
    std::vector<std::string> problems_; ///< Only grows.
};

} // namespace qz
