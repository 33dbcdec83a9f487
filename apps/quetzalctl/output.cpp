// Printing.
#include "output.h"

#include <cstdio>

namespace qz {

namespace {

std::string scalarText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printText(const nlohmann::json &value, const std::string &indent)
{
    for (const auto &member : value.items()) {
        const std::string name = value.is_array() ? "-" : member.key() + ":";
        if (member.value().is_structured()) {
            std::printf("%s%s\n", indent.c_str(), name.c_str());
            printText(member.value(), indent + "  ");
        } else {
            std::printf("%s%s %s\n", indent.c_str(), name.c_str(),
                        scalarText(member.value()).c_str());
        }
    }
}

} // namespace

void Output::print(const nlohmann::json &value) const
{
    if (!isJson_ && value.is_structured()) {
        printText(value, "");
        return;
    }
    constexpr int indent = 2;
    std::printf("%s\n", value.dump(indent).c_str());
}

void Output::printRaw(const std::string &text)
{
    std::fwrite(text.data(), 1, text.size(), stdout);
}

ExitCode Output::fail(const Error &error) const
{
    const ExitCode code = exitCodeOf(error.kind_);
    if (isJson_) {
        print({ { "error", toString(error.kind_) },
                { "message", error.message_ },
                { "exit_code", static_cast<int>(code) } });
    } else {
        std::fprintf(stderr, "%s\n", error.message_.c_str());
    }
    return code;
}

ExitCode exitCodeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidRules:
        return ExitCode::InvalidRules;
    case ErrorKind::RulesConflict:
        return ExitCode::Conflict;
    case ErrorKind::StoreUnavailable:
    case ErrorKind::BackendConnectFailed:
        return ExitCode::Unavailable;
    case ErrorKind::StoreTimeout:
        return ExitCode::OutcomeUnknown;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    case ErrorKind::Unauthorized:
        return ExitCode::Unauthorized;
    case ErrorKind::InvalidSettings:
    case ErrorKind::BadRequest:
        return ExitCode::Usage;
    default:
        return ExitCode::Failed;
    }
}

} // namespace qz
