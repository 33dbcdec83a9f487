// The commands of quetzalctl.
#pragma once

#include "operatorclient.h"
#include "output.h"

#include "qz_core/ids/ids.h"

#include <nlohmann/json.hpp>

#include <string>

namespace qz {

/// Checks a rules file without any instance.
ExitCode checkRules(const std::string &file, const Output &output);

/// The commands that call an instance.
class Commands
{
public:
    Commands(const OperatorClient &client, const Output &output)
        : client_(client)
        , output_(output)
    {
    }
    Commands(const Commands &) = delete;
    Commands &operator=(const Commands &) = delete;

    ExitCode getRules() const;
    ExitCode putRules(const std::string &file, const std::string &ifMatch,
                      const std::string &author) const;

    /// Prints what GET @p path answers.
    ExitCode show(const std::string &path) const;

    /// Prints the state of the instance with this id.
    ExitCode dump(const std::string &instance) const;

    /// Sets or clears the label drain of a backend server, by a change of the rules.
    ExitCode setDrain(const std::string &server, bool drains, const std::string &author) const;

private:
    struct Document
    {
        std::string version_;
        std::string text_;
    };

    Result<HttpResponse> fetch(const std::string &path) const;
    Result<Document> fetchRules() const;
    Result<nlohmann::json> publish(const Document &document, const std::string &author) const;

    const OperatorClient &client_;
    const Output &output_;
};

} // namespace qz
