// Names of the header fields that callers, instances and backend servers exchange.
#pragma once

#include <string>

namespace qz {

/// The platform on which the fleet runs defines the names of these fields.
struct ForwardHeaders
{
    std::string requestId_;    ///< Identifies a request; backend servers return it in responses.
    std::string deadline_;     ///< Time until the response is due, in milliseconds.
    std::string expectServer_; ///< Id of the backend server that the request is meant for.
    std::string notRun_;       ///< In a response: the server did not and will not run the request.
    std::string seal_;         ///< In a response: signature of the backend server.
    /// In a response: requests per second that the server accepts from all instances together.
    std::string rateLimit_;
    std::string leaving_; ///< In a response: "1" if the server will stop soon.
    std::string caller_;  ///< Names the caller that sends a request.
};

} // namespace qz
