// The table row that stands for one idempotency key.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace qz {

using AttemptToken = StrongId<struct AttemptTokenTag>; ///< One call of ClaimClient::claim().

/// What a row says about its key.
enum class ClaimState : std::uint8_t {
    Claimed,  ///< The holder of the token may send, may have sent, or has lost track.
    Ran,      ///< A backend server ran the request under the token.
    Released, ///< Nothing was sent under the token and nothing will be; free to be claimed.
};

/// The content of the row `once/<workspace>/<key>`.
struct ClaimRow
{
    AttemptToken token_;
    InstanceId claimer_;
    std::string incarnation_; ///< The claimer's, new with each start of its process.
    ClaimState state_ = ClaimState::Claimed;
};

/// The table key of the row for @p key. Two different pairs never share a row.
std::string claimRowKey(const WorkspaceId &workspace, const IdempotencyKey &key);

/// Whether @p rowKey is one that claimRowKey() makes.
bool isClaimRowKey(std::string_view rowKey);

std::string toJson(const ClaimRow &row);

/// Reads what toJson() wrote; else MalformedReply.
Result<ClaimRow> parseClaimRow(std::string_view json);

std::string_view toString(ClaimState state);

} // namespace qz
