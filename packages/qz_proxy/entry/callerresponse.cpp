// Responses to callers.
#include "qz_proxy/entry/callerresponse.h"

#include <nlohmann/json.hpp>

namespace qz {

namespace {

void addOutcomeHeaders(HttpHeaders &headers, const RequestRecord &record,
                       const InstanceId &instance)
{
    headers.set(responseheader::outcome, record.outcome_);
    headers.set(responseheader::rulesVersion, std::to_string(record.rulesVersion_));
    headers.set(responseheader::instance, instance.value());
    headers.set(responseheader::requestId, record.id_.value());
    headers.remove(responseheader::callerRequestId);
    if (!record.callerRequestId_.isEmpty()) {
        headers.set(responseheader::callerRequestId, record.callerRequestId_.value());
    }
    if (!record.attempts_.empty()) {
        headers.set(responseheader::server, record.attempts_.back().server_.value());
    }
}

} // namespace

HttpResponse makeSuccessResponse(HttpResponse response, const RequestRecord &record,
                                 const InstanceId &instance)
{
    response.headers_.remove(responseheader::cause);
    addOutcomeHeaders(response.headers_, record, instance);
    return response;
}

HttpResponse makeErrorResponse(ErrorKind kind, const RequestRecord &record,
                               const InstanceId &instance)
{
    HttpResponse response;
    response.status_ = answerOf(kind).httpStatus_;
    addOutcomeHeaders(response.headers_, record, instance);
    response.headers_.set(responseheader::cause, std::string(toString(kind)));
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
