// Conversions between peer messages and HTTP messages.
#include "qz_gates/messages/executemessages.h"

#include <utility>

namespace qz {

ExecuteAnswer makeErrorAnswer(const RequestId &requestId, const BackendServerId &server,
                              const Error &error)
{
    ExecuteAnswer answer;
    answer.requestId_ = requestId;
    answer.server_ = server;
    answer.errorKind_ = toString(error.kind_);
    answer.errorMessage_ = error.message_;
    return answer;
}

Result<HttpResponse> toResult(ExecuteAnswer answer)
{
    if (!answer.errorKind_.empty()) {
        const ErrorKind kind = errorKindFromName(answer.errorKind_).value_or(ErrorKind::Internal);
        return failure(kind, std::move(answer.errorMessage_));
    }
    HttpResponse response;
    response.status_ = answer.status_;
    response.headers_ = toHeaders(answer.headers_);
    response.body_ = std::move(answer.body_);
    return response;
}

std::vector<HeaderField> toFields(const HttpHeaders &headers)
{
    std::vector<HeaderField> fields;
    fields.reserve(headers.all().size());
    for (const HttpHeader &header : headers.all()) {
        if (!isHopByHop(header.name_)) {
            fields.push_back({ header.name_, header.value_ });
        }
    }
    return fields;
}

HttpHeaders toHeaders(const std::vector<HeaderField> &fields)
{
    HttpHeaders headers;
    for (const HeaderField &field : fields) {
        headers.add(field.name_, field.value_);
    }
    return headers;
}

} // namespace qz
