// The answer to a caller.
#include "qz_proxy/entry/callerreply.h"

#include <nlohmann/json.hpp>

namespace qz {

namespace {

void addOutcome(HttpHeaders &headers, const RequestRecord &record, const InstanceId &instance)
{
    headers.set(replyheader::outcome, record.outcome_);
    headers.set(replyheader::rulesVersion, std::to_string(record.rulesVersion_));
    headers.set(replyheader::instance, instance.value());
    headers.set(replyheader::requestId, record.id_.value());
    headers.remove(replyheader::callerRequestId);
    if (!record.callerRequestId_.isEmpty()) {
        headers.set(replyheader::callerRequestId, record.callerRequestId_.value());
    }
    if (!record.attempts_.empty()) {
        headers.set(replyheader::server, record.attempts_.back().server_.value());
    }
}

} // namespace

HttpResponse makeAnsweredReply(HttpResponse response, const RequestRecord &record,
                               const InstanceId &instance)
{
    response.headers_.remove(replyheader::cause);
    addOutcome(response.headers_, record, instance);
    return response;
}

HttpResponse makeErrorReply(ErrorKind kind, const RequestRecord &record, const InstanceId &instance)
{
    HttpResponse response;
    response.status_ = answerOf(kind).httpStatus_;
    addOutcome(response.headers_, record, instance);
    response.headers_.set(replyheader::cause, std::string(toString(kind)));
    response.headers_.set("Content-Type", "application/json");
    const nlohmann::json body{ { "outcome", record.outcome_ },
                               { "cause", toString(kind) },
                               { "message", record.message_ },
                               { "request", record.id_.value() },
                               { "rules_version", record.rulesVersion_ } };
    response.body_ = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace qz
