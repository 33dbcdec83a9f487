// The answer to a caller, with what it is told about its request.
#pragma once

#include "qz_core/errors/errorkind.h"
#include "qz_http/messages/httpmessages.h"
#include "qz_proxy/observability/requestjournal.h"

namespace qz {

/// Header fields by which a caller is told the outcome.
namespace replyheader {
constexpr const char *outcome = "Quetzaldale-Outcome"; ///< answered, not-run or unknown.
constexpr const char *cause = "Quetzaldale-Cause";     ///< Name of an error kind.
constexpr const char *rulesVersion = "Quetzaldale-Rules-Version";
constexpr const char *instance = "Quetzaldale-Instance";
constexpr const char *server = "Quetzaldale-Server";        ///< The backend server tried last.
constexpr const char *requestId = "Quetzaldale-Request-Id"; ///< For `quetzalctl requests explain`.
constexpr const char *callerRequestId = "X-Request-Id";     ///< The caller's own, given back.
} // namespace replyheader

/// The whole answer of a backend server, with the outcome added.
HttpResponse makeAnsweredReply(HttpResponse response, const RequestRecord &record,
                               const InstanceId &instance);

/// The answer for a request that failed: the status of the cause, and a JSON body.
HttpResponse makeErrorReply(ErrorKind kind, const RequestRecord &record,
                            const InstanceId &instance);

} // namespace qz
