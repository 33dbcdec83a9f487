// The commands of quetzalctl.
#include "commands.h"

#include "qz_core/ids/randomid.h"
#include "qz_rules/model/fieldlocator.h"
#include "qz_rules/model/ruleset.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

namespace qz {

namespace {

constexpr int statusOk = 200;
constexpr int publishTries = 3;
constexpr const char *rulesPath = "/operator/rules";

Result<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return failure(ErrorKind::InvalidSettings, file + ": cannot be read");
    }
    return text.str();
}

/// One problem of a rules file, with its place.
struct Problem
{
    std::size_t line_ = 0; ///< 0: not known.
    std::string field_;
    std::string message_;
};

std::vector<Problem> locateProblems(const std::string &text, const std::string &messages)
{
    std::vector<Problem> problems;
    std::vector<std::string> fields;
    std::istringstream lines(messages);
    for (std::string line; std::getline(lines, line);) {
        Problem problem;
        problem.field_ = fieldOfProblem(line);
        problem.message_ = line.substr(std::min(line.size(), problem.field_.size() + 2));
        fields.push_back(problem.field_);
        problems.push_back(std::move(problem));
    }
    const auto found = locateFields(text, fields);
    for (Problem &problem : problems) {
        const auto line = found.find(problem.field_);
        problem.line_ = line == found.end() ? 0 : line->second;
    }
    return problems;
}

std::string placeText(const std::string &file, const Problem &problem)
{
    const std::string line = problem.line_ == 0 ? "" : ":" + std::to_string(problem.line_);
    return file + line + ": " + problem.field_ + ": " + problem.message_;
}

/// Reports what is wrong with a rules file.
ExitCode reportInvalid(const std::string &file, const std::string &text, const Error &error,
                       const Output &output)
{
    std::string lines;
    nlohmann::json list = nlohmann::json::array();
    for (const Problem &problem : locateProblems(text, error.message_)) {
        lines += (lines.empty() ? "" : "\n") + placeText(file, problem);
        list.push_back({ { "file", file },
                         { "line", problem.line_ },
                         { "field", problem.field_ },
                         { "message", problem.message_ } });
    }
    if (!output.isJson()) {
        return output.fail({ error.kind_, lines });
    }
    output.print({ { "valid", false }, { "problems", list } });
    return exitCodeOf(error.kind_);
}

/// The error that an answer other than 200 reports.
Error errorOf(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body_, nullptr, false);
    if (body.is_object() && body.value("error", nlohmann::json()).is_string()
        && body.value("message", nlohmann::json()).is_string()) {
        const auto kind = errorKindFromName(body["error"].get<std::string>());
        return Error{ kind.value_or(ErrorKind::Internal), body["message"].get<std::string>() };
    }
    return Error{ ErrorKind::MalformedReply,
                  "the instance answered with status " + std::to_string(response.status_) };
}

/// The list in which the labels of backend servers stand, with an entry for @p server.
nlohmann::json &labelsOf(nlohmann::json &document, const std::string &server)
{
    nlohmann::json &servers = document["backend_servers"];
    for (nlohmann::json &entry : servers) {
        if (entry.value("name", "") == server) {
            return entry["labels"];
        }
    }
    servers.push_back({ { "name", server }, { "labels", nlohmann::json::object() } });
    return servers.back()["labels"];
}

} // namespace

ExitCode checkRules(const std::string &file, const Output &output)
{
    const auto text = readFile(file);
    if (!text) {
        return output.fail(text.error());
    }
    const auto rules = RuleSet::parse(text.value());
    if (!rules) {
        return reportInvalid(file, text.value(), rules.error(), output);
    }
    output.print({ { "valid", true },
                   { "ranks", rules.value()->ranks().size() },
                   { "kinds", rules.value()->kinds().size() },
                   { "routes", rules.value()->routeCount() },
                   { "workspaces", rules.value()->workspaceCount() } });
    return ExitCode::Ok;
}

ExitCode Commands::getRules() const
{
    const auto document = fetchRules();
    if (!document) {
        return output_.fail(document.error());
    }
    if (output_.isJson()) {
        output_.print({ { "version", std::stoull(document.value().version_) },
                        { "document", nlohmann::json::parse(document.value().text_) } });
        return ExitCode::Ok;
    }
    std::fprintf(stderr, "version %s\n", document.value().version_.c_str());
    Output::printRaw(document.value().text_);
    return ExitCode::Ok;
}

ExitCode Commands::putRules(const std::string &file, const std::string &ifMatch,
                            const std::string &author) const
{
    const auto text = readFile(file);
    if (!text) {
        return output_.fail(text.error());
    }
    const auto rules = RuleSet::parse(text.value());
    if (!rules) {
        return reportInvalid(file, text.value(), rules.error(), output_);
    }
    const auto published = publish(Document{ ifMatch, text.value() }, author);
    if (!published) {
        const bool isInvalid = published.error().kind_ == ErrorKind::InvalidRules;
        return isInvalid ? reportInvalid(file, text.value(), published.error(), output_)
                         : output_.fail(published.error());
    }
    output_.print(published.value());
    return ExitCode::Ok;
}

ExitCode Commands::show(const std::string &path) const
{
    const auto response = fetch(path);
    if (!response) {
        return output_.fail(response.error());
    }
    const auto body = nlohmann::json::parse(response.value().body_, nullptr, false);
    if (body.is_discarded()) {
        return output_.fail({ ErrorKind::MalformedReply, "the answer is not JSON" });
    }
    output_.print(body);
    return ExitCode::Ok;
}

ExitCode Commands::dump(const std::string &instance) const
{
    const auto response = fetch("/operator/instances");
    if (!response) {
        return output_.fail(response.error());
    }
    const auto body = nlohmann::json::parse(response.value().body_, nullptr, false);
    const auto instances = body.is_object() ? body.value("instances", nlohmann::json::array())
                                            : nlohmann::json::array();
    for (const auto &entry : instances) {
        const std::string address = entry.value("caller_endpoint", "");
        const std::size_t colon = address.rfind(':');
        if (entry.value("id", "") != instance || colon == std::string::npos) {
            continue;
        }
        const auto port = static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
        const OperatorClient other(client_.settingsFor(Endpoint{ address.substr(0, colon), port }));
        return Commands(other, output_).show("/operator/dump");
    }
    return output_.fail({ ErrorKind::NotFound, "no instance is named " + instance });
}

ExitCode Commands::setDrain(const std::string &server, bool drains, const std::string &author) const
{
    Result<nlohmann::json> published = failure(ErrorKind::Internal, "not tried");
    for (int i = 0; i < publishTries; ++i) {
        const auto current = fetchRules();
        if (!current) {
            return output_.fail(current.error());
        }
        auto document = nlohmann::json::parse(current.value().text_);
        nlohmann::json &labels = labelsOf(document, server);
        if (drains) {
            labels["drain"] = "true";
        } else {
            labels["drain"] = "false";
        }
        published = publish(Document{ current.value().version_, document.dump() }, author);
        // Another change came first: the label goes on top of that one.
        if (published || published.error().kind_ != ErrorKind::RulesConflict) {
            break;
        }
    }
    if (!published) {
        return output_.fail(published.error());
    }
    output_.print(published.value());
    return ExitCode::Ok;
}

Result<HttpResponse> Commands::fetch(const std::string &path) const
{
    auto response = client_.get(path);
    if (response && response.value().status_ != statusOk) {
        return errorOf(response.value());
    }
    return response;
}

Result<Commands::Document> Commands::fetchRules() const
{
    const auto response = fetch(rulesPath);
    if (!response) {
        return response.error();
    }
    std::string version = response.value().headers_.find("ETag").value_or("");
    version.erase(std::remove(version.begin(), version.end(), '"'), version.end());
    const bool isNumber =
            !version.empty() && version.find_first_not_of("0123456789") == std::string::npos;
    const bool isDocument = nlohmann::json::accept(response.value().body_);
    if (!isNumber || !isDocument) {
        return failure(ErrorKind::MalformedReply, "the answer is no document with a version");
    }
    return Document{ version, response.value().body_ };
}

Result<nlohmann::json> Commands::publish(const Document &document, const std::string &author) const
{
    HttpRequest request;
    request.method_ = "PUT";
    request.target_ = rulesPath;
    request.headers_.set("Content-Type", "application/json");
    request.headers_.set("If-Match", "\"" + document.version_ + "\"");
    request.headers_.set("Idempotency-Key", makeRandomId());
    request.headers_.set("Quetzaldale-Author", author);
    request.body_ = document.text_;
    // The same attempt again, by its key, if an answer was lost.
    Result<HttpResponse> response = client_.call(request);
    bool wasSent = false;
    for (int i = 1; i < publishTries && !response; ++i) {
        wasSent = wasSent || response.error().kind_ != ErrorKind::BackendConnectFailed;
        response = client_.call(request);
    }
    if (!response) {
        wasSent = wasSent || response.error().kind_ != ErrorKind::BackendConnectFailed;
        const ErrorKind kind = wasSent ? ErrorKind::StoreTimeout : ErrorKind::StoreUnavailable;
        return failure(kind,
                       (wasSent ? "the change may have been made; ask for the status: "
                                : "nothing was changed: ")
                               + response.error().message_);
    }
    const Error error = errorOf(response.value());
    if (response.value().status_ != statusOk) {
        const bool isUnsure = wasSent && error.kind_ == ErrorKind::StoreUnavailable;
        return Error{ isUnsure ? ErrorKind::StoreTimeout : error.kind_, error.message_ };
    }
    const auto body = nlohmann::json::parse(response.value().body_, nullptr, false);
    if (body.is_discarded()) {
        return failure(ErrorKind::StoreTimeout, "the answer is not JSON; ask for the status");
    }
    return body;
}

} // namespace qz
