// What entries and gates tell each other about requests.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_fleet/messages/packing.h"
#include "qz_http/messages/httpmessages.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace qz {

struct HeaderField
{
    std::string name_;
    std::string value_;

    MSGPACK_DEFINE_ARRAY(name_, value_)
};

/// An entry asks a gate to run one request on its backend server.
struct ExecuteRequest
{
    RequestId requestId_; ///< Unique to this try of the request.
    BackendServerId server_;
    std::string kind_;
    std::uint64_t rank_ = 0; ///< 0 is the most urgent.
    WorkspaceId workspace_;
    double weight_ = 1.0; ///< Of the workspace.
    double worth_ = 1.0;
    bool repeatable_ = false;
    Duration timeLeft_{}; ///< From sending until the answer is worth nothing.
    std::string method_;
    std::string target_;
    std::vector<HeaderField> headers_;
    std::string body_;

    MSGPACK_DEFINE_ARRAY(requestId_, server_, kind_, rank_, workspace_, weight_, worth_,
                         repeatable_, timeLeft_, method_, target_, headers_, body_)
};

/// The state of a gate's queue and the weight of its backend server, told on each answer.
struct GateLoadReport
{
    std::uint64_t queued_ = 0;
    std::uint64_t running_ = 0;
    std::int32_t slots_ = 1;
    std::vector<Duration> waitByRank_;
    double weight_ = 1.0;            ///< 0..1, by health.
    Duration expectedServiceTime_{}; ///< Of the kind that the answer is about; zero if unknown.

    MSGPACK_DEFINE_ARRAY(queued_, running_, slots_, waitByRank_, weight_, expectedServiceTime_)
};

/// What became of a request at a gate.
struct ExecuteAnswer
{
    RequestId requestId_;
    BackendServerId server_;
    std::string errorKind_; ///< Stable name of an ErrorKind; empty if a whole answer follows.
    std::string errorMessage_;
    std::int32_t status_ = 0;
    std::vector<HeaderField> headers_;
    std::string body_;
    GateLoadReport loadReport_;

    MSGPACK_DEFINE_ARRAY(requestId_, server_, errorKind_, errorMessage_, status_, headers_, body_,
                         loadReport_)
};

/// The caller of a request has gone.
struct CancelRequest
{
    RequestId requestId_;
    BackendServerId server_;

    MSGPACK_DEFINE_ARRAY(requestId_, server_)
};

/// An answer that tells @p error.
ExecuteAnswer makeErrorAnswer(const RequestId &requestId, const BackendServerId &server,
                              const Error &error);

/// The whole answer that @p answer carries, or the error that it tells. An unknown error name,
/// from a newer instance, is read as Internal, whose outcome is unknown.
Result<HttpResponse> toResult(ExecuteAnswer answer);

/// Header fields that a proxy passes on.
std::vector<HeaderField> toFields(const HttpHeaders &headers);
HttpHeaders toHeaders(const std::vector<HeaderField> &fields);

} // namespace qz
