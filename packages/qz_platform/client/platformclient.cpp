// The platform's services by HTTP and JSON.
#include "qz_platform/client/platformclient.h"

#include "qz_core/ids/randomid.h"

#include <event2/http.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace qz {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusNoContent = 204;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusServiceUnavailable = 503;

std::string encode(const std::string &text)
{
    const std::unique_ptr<char, decltype(&free)> encoded(evhttp_uriencode(text.c_str(), -1, 0),
                                                         &free);
    return encoded.get();
}

bool isSuccess(int status)
{
    return status == statusOk || status == statusCreated || status == statusNoContent;
}

Error toStoreError(const Error &error)
{
    const bool isSent =
            error.kind_ != ErrorKind::BackendConnectFailed && error.kind_ != ErrorKind::QueueFull;
    return failure(isSent ? ErrorKind::StoreTimeout : ErrorKind::StoreUnavailable, error.message_);
}

Error toStoreError(int status)
{
    const bool isRefused = status == statusServiceUnavailable;
    return failure(isRefused ? ErrorKind::StoreUnavailable : ErrorKind::StoreTimeout,
                   "the platform answered " + std::to_string(status));
}

Error malformed(const char *what)
{
    return failure(ErrorKind::MalformedReply,
                   std::string("the platform's ") + what + " cannot be read");
}

json toJson(const TableWrite &write)
{
    json out{ { "key", write.key_ }, { "expected_version", write.expectedVersion_ } };
    out["value"] = write.value_ ? json(*write.value_) : json(nullptr);
    return out;
}

Result<std::optional<TableRow>> readRow(const HttpResponse &response)
{
    if (response.status_ == statusNotFound) {
        return std::optional<TableRow>{};
    }
    if (response.status_ != statusOk) {
        return toStoreError(response.status_);
    }
    const json row = json::parse(response.body_, nullptr, false);
    if (!row.is_object() || !row.contains("value") || !row["value"].is_string()
        || !row.contains("version") || !row["version"].is_number_unsigned()) {
        return malformed("row");
    }
    return std::optional<TableRow>(
            TableRow{ row["value"].get<std::string>(), row["version"].get<RowVersion>() });
}

Result<CommitDecision> readDecision(const HttpResponse &response)
{
    if (isSuccess(response.status_)) {
        return CommitDecision{};
    }
    if (response.status_ != statusPreconditionFailed) {
        return toStoreError(response.status_);
    }
    const json reply = json::parse(response.body_, nullptr, false);
    if (!reply.is_object() || !reply.contains("conflicts") || !reply["conflicts"].is_array()) {
        return malformed("decision");
    }
    CommitDecision decision;
    for (const json &key : reply["conflicts"]) {
        if (!key.is_string()) {
            return malformed("decision");
        }
        decision.conflicts_.push_back(key.get<std::string>());
    }
    return decision.isApplied() ? Result<CommitDecision>(malformed("decision")) : decision;
}

} // namespace

PlatformClient::PlatformClient(EventLoop &loop, Endpoint platform, Duration callTimeout)
    : pool_(loop, std::move(platform), HttpClientLimits{})
    , callTimeout_(callTimeout)
{
}

void PlatformClient::call(HttpRequest request, HttpClientPool::Done done)
{
    pool_.send(std::move(request), RequestId(makeRandomId()), callTimeout_, std::move(done));
}

void PlatformClient::read(const std::string &key, ReadDone done)
{
    HttpRequest request;
    request.target_ = "/table/rows/" + encode(key);
    call(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) {
        if (response.has_error()) {
            done(toStoreError(response.error()));
            return;
        }
        done(readRow(response.value()));
    });
}

void PlatformClient::commit(std::vector<TableWrite> writes, CommitDone done)
{
    json body{ { "writes", json::array() } };
    for (const TableWrite &write : writes) {
        body["writes"].push_back(toJson(write));
    }
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = "/table/transactions";
    request.headers_.add("Content-Type", "application/json");
    request.body_ = body.dump();
    call(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) {
        if (response.has_error()) {
            done(toStoreError(response.error()));
            return;
        }
        done(readDecision(response.value()));
    });
}

void PlatformClient::get(const std::string &name, GetDone done)
{
    HttpRequest request;
    request.target_ = "/objects/" + encode(name);
    call(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) {
        if (response.has_error()) {
            done(toStoreError(response.error()));
        } else if (response.value().status_ == statusNotFound) {
            done(failure(ErrorKind::NotFound, "no such object"));
        } else if (response.value().status_ != statusOk) {
            done(toStoreError(response.value().status_));
        } else {
            done(response.value().body_);
        }
    });
}

void PlatformClient::put(const std::string &name, std::string content, PutDone done)
{
    HttpRequest request;
    request.method_ = "PUT";
    request.target_ = "/objects/" + encode(name);
    request.body_ = std::move(content);
    call(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) {
        if (response.has_error()) {
            done(toStoreError(response.error()));
        } else if (!isSuccess(response.value().status_)) {
            done(toStoreError(response.value().status_));
        } else {
            done(success());
        }
    });
}

void PlatformClient::fetch(InstanceList::Done done)
{
    HttpRequest request;
    request.target_ = "/instances";
    call(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) {
        if (response.has_error()) {
            done(toStoreError(response.error()));
        } else if (response.value().status_ != statusOk) {
            done(toStoreError(response.value().status_));
        } else {
            done(parseInstanceListing(response.value().body_));
        }
    });
}

} // namespace qz
