// A stand-in for the platform.
#include "testbed/platformstandin.h"

#include <event2/http.h>

#include <stdexcept>

namespace qz::testing {

namespace {

using nlohmann::json;

constexpr const char *rowsPrefix = "/table/rows/";
constexpr const char *objectsPrefix = "/objects/";

HttpServerLimits makeLimits()
{
    HttpServerLimits limits;
    limits.bodyBytes_ = 16UL * 1024 * 1024;
    limits.idleTimeout_ = std::chrono::minutes(10);
    return limits;
}

HttpResponse makeResponse(int status, const json &body)
{
    HttpResponse response;
    response.status_ = status;
    response.body_ = body.dump();
    return response;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string decode(const std::string &text)
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&free)> decoded(evhttp_uridecode(text.c_str(), 0, &size),
                                                         &free);
    return std::string(decoded.get(), size);
}

} // namespace

PlatformStandIn::PlatformStandIn(EventLoop &loop, const Endpoint &endpoint)
    : loop_(loop)
    , server_(loop, makeLimits(),
              [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
{
    if (server_.listen(endpoint).has_error()) {
        throw std::runtime_error("the platform stand-in cannot listen");
    }
}

void PlatformStandIn::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (fault_ == Fault::Silent) {
        return;
    }
    if (fault_ == Fault::Down) {
        exchange->reply(makeResponse(503, {}));
        return;
    }
    const HttpResponse response = answer(exchange->request());
    if (fault_ == Fault::LoseAnswers) {
        return;
    }
    if (delay_ == Duration::zero()) {
        exchange->reply(response);
        return;
    }
    if (delayed_.size() > 10000) {
        delayed_.erase(delayed_.begin(), delayed_.begin() + 5000);
    }
    delayed_.push_back(
            loop_.callAfter(delay_, [exchange, response] { exchange->reply(response); }));
}

HttpResponse PlatformStandIn::answer(const HttpRequest &request)
{
    const std::string &target = request.target_;
    if (target == "/instances") {
        HttpResponse response;
        response.body_ = formatInstanceListing(listing_);
        return response;
    }
    if (startsWith(target, rowsPrefix)) {
        return readRow(decode(target.substr(std::string(rowsPrefix).size())));
    }
    if (target == "/table/transactions") {
        return commit(json::parse(request.body_));
    }
    if (startsWith(target, objectsPrefix)) {
        return useObject(request, decode(target.substr(std::string(objectsPrefix).size())));
    }
    return makeResponse(404, {});
}

HttpResponse PlatformStandIn::readRow(const std::string &key)
{
    ++reads_;
    const auto row = rows_.find(key);
    if (row == rows_.end()) {
        return makeResponse(404, {});
    }
    return makeResponse(200,
                        { { "value", row->second.value_ }, { "version", row->second.version_ } });
}

HttpResponse PlatformStandIn::commit(const json &body)
{
    ++writes_;
    const json &writes = body.at("writes");
    const auto conflicts = findConflicts(writes);
    if (!conflicts.empty()) {
        return makeResponse(412, { { "conflicts", conflicts } });
    }
    for (const json &write : writes) {
        const auto key = write.at("key").get<std::string>();
        if (write.at("value").is_null()) {
            rows_.erase(key);
        } else {
            rows_[key] = TableRow{ write["value"].get<std::string>(), ++lastVersion_ };
        }
    }
    return makeResponse(200, json::object());
}

std::vector<std::string> PlatformStandIn::findConflicts(const json &writes) const
{
    std::vector<std::string> conflicts;
    for (const json &write : writes) {
        const auto key = write.at("key").get<std::string>();
        const auto row = rows_.find(key);
        const RowVersion version = row == rows_.end() ? 0 : row->second.version_;
        if (version != write.at("expected_version").get<RowVersion>()) {
            conflicts.push_back(key);
        }
    }
    return conflicts;
}

HttpResponse PlatformStandIn::useObject(const HttpRequest &request, const std::string &name)
{
    if (request.method_ == "PUT") {
        ++writes_;
        objects_[name] = request.body_;
        return makeResponse(200, {});
    }
    ++reads_;
    const auto object = objects_.find(name);
    if (object == objects_.end()) {
        return makeResponse(404, {});
    }
    HttpResponse response;
    response.body_ = object->second;
    return response;
}

} // namespace qz::testing
