// Table keys and JSON format of claims.
#include "qz_once/claims/claimrow.h"

#include <nlohmann/json.hpp>

#include <array>

namespace qz {

namespace {

constexpr std::string_view rowPrefix = "once/";
constexpr std::array states{ ClaimState::Claimed, ClaimState::Ran, ClaimState::Released };

/// Escapes the separator '/' and the escape character '%'.
std::string escape(const std::string &text)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (const char c : text) {
        if (c == '/') {
            escaped += "%2F";
        } else if (c == '%') {
            escaped += "%25";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

Result<ClaimState> parseState(const std::string &name)
{
    for (const ClaimState state : states) {
        if (toString(state) == name) {
            return state;
        }
    }
    return failure(ErrorKind::MalformedReply, "a claim row has the unknown state " + name);
}

} // namespace

std::string claimRowKey(const WorkspaceId &workspace, const IdempotencyKey &key)
{
    return std::string(rowPrefix) + escape(workspace.value()) + "/" + escape(key.value());
}

bool isClaimRowKey(std::string_view rowKey)
{
    return rowKey.substr(0, rowPrefix.size()) == rowPrefix;
}

std::string toJson(const ClaimRow &row)
{
    const nlohmann::json json{ { "token", row.token_.value() },
                               { "claimer", row.claimer_.value() },
                               { "incarnation", row.incarnation_ },
                               { "state", toString(row.state_) } };
    return json.dump();
}

Result<ClaimRow> parseClaimRow(std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    for (const char *member : { "token", "claimer", "incarnation", "state" }) {
        if (!parsed.is_object() || !parsed.contains(member) || !parsed[member].is_string()) {
            return failure(ErrorKind::MalformedReply,
                           std::string("a claim row has no text ") + member);
        }
    }
    const Result<ClaimState> state = parseState(parsed["state"].get<std::string>());
    if (!state.has_value()) {
        return state.error();
    }
    return ClaimRow{ AttemptToken(parsed["token"].get<std::string>()),
                     InstanceId(parsed["claimer"].get<std::string>()),
                     parsed["incarnation"].get<std::string>(), state.value() };
}

std::string_view toString(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Ran:
        return "ran";
    case ClaimState::Released:
        break;
    }
    return "released";
}

} // namespace qz
