// Responses to callers, with headers that report the outcome of the request.
#pragma once

#include "qz_core/errors/errorkind.h"
#include "qz_http/messages/httpmessages.h"
#include "qz_proxy/observability/requestjournal.h"

namespace qz {

/// Header fields that report the outcome to the caller.
namespace responseheader {
constexpr const char *outcome = "Quetzaldale-Outcome"; ///< "answered", "not-run" or "unknown".
constexpr const char *cause = "Quetzaldale-Cause";     ///< Name of an error kind.
constexpr const char *rulesVersion = "Quetzaldale-Rules-Version";
constexpr const char *instance = "Quetzaldale-Instance";
constexpr const char *server = "Quetzaldale-Server";        ///< Backend server of the last attempt.
constexpr const char *requestId = "Quetzaldale-Request-Id"; ///< For `quetzalctl requests explain`.
constexpr const char *callerRequestId = "X-Request-Id";     ///< As sent by the caller.
} // namespace responseheader

/// Returns the response of a backend server with the outcome headers added.
HttpResponse makeSuccessResponse(HttpResponse response, const RequestRecord &record,
                                 const InstanceId &instance);

/// Returns the response to a request that failed: the HTTP status of @p kind and a JSON body.
HttpResponse makeErrorResponse(ErrorKind kind, const RequestRecord &record,
                               const InstanceId &instance);

} // namespace qz
