// Calls to the operator endpoint of one instance.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/client/httpconnection.h"

#include <string>

namespace qz {

struct OperatorClientSettings
{
    Endpoint instance_;
    Duration timeout_{};
    std::string token_; ///< Secret: never printed.
};

/// Sends one request at a time and waits for its answer.
/// Errors of call(): BackendConnectFailed, nothing was sent; others, it may have been.
class OperatorClient
{
public:
    explicit OperatorClient(OperatorClientSettings settings)
        : settings_(std::move(settings))
    {
    }
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    Result<HttpResponse> get(const std::string &path) const;
    Result<HttpResponse> call(HttpRequest request) const;

    /// The same operator at another instance.
    OperatorClientSettings settingsFor(const Endpoint &instance) const;

private:
    OperatorClientSettings settings_;
};

} // namespace qz
