// The table row of an idempotency key.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace qz {

/// Identifies a call of ClaimClient::claim().
using AttemptToken = StrongId<struct AttemptTokenTag>;

/// The state of a key.
enum class ClaimState : std::uint8_t {
    Claimed,  ///< The holder may send or may have sent the request; the outcome is unknown.
    Ran,      ///< A backend server ran the request under the token.
    Released, ///< The request did not and will not run under the token; the key can be claimed.
};

/// The content of the row `once/<workspace>/<key>`.
struct ClaimRow
{
    AttemptToken token_;
    InstanceId claimer_;
    std::string incarnation_; ///< Of the claimer; changes with each start of its process.
    ClaimState state_ = ClaimState::Claimed;
};

/// Returns the table key of the row for @p key. Different workspaces or keys never share a row.
std::string claimRowKey(const WorkspaceId &workspace, const IdempotencyKey &key);

/// Returns whether @p rowKey has the prefix of the rows of claims.
bool isClaimRowKey(std::string_view rowKey);

std::string toJson(const ClaimRow &row);

/// Parses the format of toJson(). Fails with MalformedReply for any other text.
Result<ClaimRow> parseClaimRow(std::string_view json);

std::string_view toString(ClaimState state);

} // namespace qz
