// Names of the header fields that callers, instances and backend servers use.
#pragma once

#include <string>

namespace qz {

/// Who speaks which fields is settled by the platform that the fleet runs on.
struct ForwardHeaders
{
    std::string requestId_;    ///< Names one request; passed on and echoed by backend servers.
    std::string deadline_;     ///< Milliseconds that are left for the answer.
    std::string expectServer_; ///< The backend server for which a request is meant.
    std::string notRun_;       ///< In an answer: the server has not run the request.
    std::string seal_;         ///< In an answer: a backend server's signature.
};

} // namespace qz
