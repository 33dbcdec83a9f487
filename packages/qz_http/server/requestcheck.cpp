// Checks against messages whose length is ambiguous.
#include "qz_http/server/requestcheck.h"

#include <algorithm>

namespace qz {

namespace {

bool isDecimal(const std::string &text)
{
    return !text.empty()
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

Result<void> checkFraming(const HttpHeaders &headers)
{
    const std::size_t lengths = headers.count("Content-Length");
    const auto coding = headers.find("Transfer-Encoding");
    if (lengths > 1) {
        return failure(ErrorKind::BadRequest, "more than one Content-Length");
    }
    if (lengths == 1 && coding) {
        return failure(ErrorKind::BadRequest, "Content-Length together with Transfer-Encoding");
    }
    if (lengths == 1 && !isDecimal(*headers.find("Content-Length"))) {
        return failure(ErrorKind::BadRequest, "Content-Length is not a number");
    }
    if (headers.count("Transfer-Encoding") > 1
        || (coding && !equalsIgnoringCase(*coding, "chunked"))) {
        return failure(ErrorKind::BadRequest, "the only transfer coding taken is chunked");
    }
    return success();
}

Result<void> checkRequestFraming(const HttpHeaders &headers)
{
    BOOST_OUTCOME_TRY(checkFraming(headers));
    if (headers.count("Host") != 1) {
        return failure(ErrorKind::BadRequest, "exactly one Host is needed");
    }
    return success();
}

} // namespace qz
