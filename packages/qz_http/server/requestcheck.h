// Checks of the fields that decide where a message ends.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_http/messages/httpmessages.h"

namespace qz {

/// Refuses, as BadRequest, what another recipient may read as a message of another length:
/// Content-Length beside Transfer-Encoding, two fields of either name, a length that is not a
/// decimal number, a coding other than chunked.
Result<void> checkFraming(const HttpHeaders &headers);

/// The same for a request, which must also have exactly one Host.
Result<void> checkRequestFraming(const HttpHeaders &headers);

} // namespace qz
