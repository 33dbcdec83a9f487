// Checks of a received request that libevhtp leaves out.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_http/messages/httpmessages.h"

namespace qz {

/// Refuses, as BadRequest, what another server may read as a request of another length:
/// Content-Length beside Transfer-Encoding, two Content-Length fields, a coding other than
/// chunked; and a request with no Host or more than one.
Result<void> checkRequestFraming(const HttpHeaders &headers);

} // namespace qz
