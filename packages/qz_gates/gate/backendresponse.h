// How a backend server's answer or failure is understood.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_health/evidence/observation.h"
#include "qz_http/messages/httpmessages.h"

namespace qz {

/// Turns an answer by which the server says that it did not take the request into
/// BackendShed: status 429, or 503 with Retry-After. Any other answer stays as it is.
Result<HttpResponse> mapShedResponse(Result<HttpResponse> result);

/// Whether the server says on this answer that it takes no new work: X-Backend-State: draining.
bool announcesDrain(const HttpResponse &response);

/// What the result of a request says of its backend server.
ObservedResult toObservedResult(const Result<HttpResponse> &result);

} // namespace qz
