// Classifies responses and failures of backend servers.
#include "qz_gates/gate/backendresponse.h"

namespace qz {

namespace {

constexpr int tooManyRequests = 429;
constexpr int serviceUnavailable = 503;
constexpr int firstServerError = 500;

} // namespace

Result<HttpResponse> mapShedResponse(Result<HttpResponse> result)
{
    if (result.has_error()) {
        return result;
    }
    const HttpResponse &response = result.value();
    const bool hasRetryAfter = response.headers_.find("Retry-After").has_value();
    if (response.status_ == tooManyRequests
        || (response.status_ == serviceUnavailable && hasRetryAfter)) {
        return failure(ErrorKind::BackendShed, "the backend server shed the request");
    }
    return result;
}

bool announcesDrain(const HttpResponse &response)
{
    return response.headers_.find("X-Backend-State") == "draining";
}

ObservedResult toObservedResult(const Result<HttpResponse> &result)
{
    if (result.has_value()) {
        const bool isServerError = result.value().status_ >= firstServerError;
        return isServerError ? ObservedResult::Failed : ObservedResult::Succeeded;
    }
    switch (result.error().kind_) {
    case ErrorKind::BackendShed:
        return ObservedResult::Shed;
    case ErrorKind::BackendConnectFailed:
        return ObservedResult::ConnectFailed;
    case ErrorKind::BackendTimeout:
        return ObservedResult::TimedOut;
    default:
        return ObservedResult::Cut;
    }
}

} // namespace qz
