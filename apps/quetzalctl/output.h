// What quetzalctl prints: text for people, or JSON for programs.
#pragma once

#include "exitcodes.h"

#include "qz_core/errors/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace qz {

/// Prints results to standard output and errors to standard error; with JSON both are one
/// JSON value on standard output.
class Output
{
public:
    explicit Output(bool isJson)
        : isJson_(isJson)
    {
    }

    bool isJson() const { return isJson_; }

    /// Prints @p value, in text as one line a field and one block a list element.
    void print(const nlohmann::json &value) const;

    /// Prints a text as it is; not for JSON.
    static void printRaw(const std::string &text);

    /// Reports @p error and returns the code to exit with.
    ExitCode fail(const Error &error) const;

private:
    bool isJson_;
};

/// The exit code that stands for an error.
ExitCode exitCodeOf(ErrorKind kind);

} // namespace qz
