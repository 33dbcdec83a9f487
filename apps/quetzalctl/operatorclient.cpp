// HTTP by evhttp's client, on a loop of its own for each call.
#include "operatorclient.h"

#include "qz_core/ids/randomid.h"

#include <optional>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t answerLimitBytes = std::size_t{ 64 } * 1024 * 1024;

} // namespace

Result<HttpResponse> OperatorClient::get(const std::string &path) const
{
    HttpRequest request;
    request.target_ = path;
    return call(std::move(request));
}

Result<HttpResponse> OperatorClient::call(HttpRequest request) const
{
    request.headers_.set("Authorization", "Bearer " + settings_.token_);
    request.headers_.set("Host", toString(settings_.instance_));
    EventLoop loop;
    HttpConnection connection(loop, settings_.instance_, answerLimitBytes);
    std::optional<Result<HttpResponse>> answer;
    connection.send(request, RequestId(makeRandomId()), settings_.timeout_,
                    [&answer, &loop](Result<HttpResponse> result) {
                        answer = std::move(result);
                        loop.stop();
                    });
    if (!answer) {
        loop.run();
    }
    return std::move(*answer);
}

OperatorClientSettings OperatorClient::settingsFor(const Endpoint &instance) const
{
    OperatorClientSettings settings = settings_;
    settings.instance_ = instance;
    return settings;
}

} // namespace qz
