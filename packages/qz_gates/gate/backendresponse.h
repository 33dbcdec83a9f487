// Classifies responses and failures of backend servers.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_health/evidence/observation.h"
#include "qz_http/messages/httpmessages.h"

namespace qz {

/// Maps a response by which the server states that it did not run the request, status 429 or
/// status 503 with Retry-After, to the error BackendShed. Returns any other result unchanged.
Result<HttpResponse> mapShedResponse(Result<HttpResponse> result);

/// Returns whether the response announces that the server accepts no new work: it has the header
/// "X-Backend-State: draining".
bool announcesDrain(const HttpResponse &response);

/// Returns the result to record as evidence of the backend server's health.
ObservedResult toObservedResult(const Result<HttpResponse> &result);

} // namespace qz
