// The peer messages by which entries and gates exchange requests and answers.
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

/// Sent by an entry to have a gate run one request on its backend server.
struct ExecuteRequest
{
    RequestId requestId_; ///< Unique per attempt of the request.
    BackendServerId server_;
    std::string kind_;
    std::uint64_t rank_ = 0; ///< 0 is the most urgent.
    WorkspaceId workspace_;
    double weight_ = 1.0; ///< Weight of the workspace.
    double worth_ = 1.0;  ///< Worth of an answer before the deadline.
    bool repeatable_ = false;
    Duration timeLeft_{}; ///< Time from sending to the deadline.
    std::string method_;
    std::string target_;
    std::vector<HeaderField> headers_;
    std::string body_;

    MSGPACK_DEFINE_ARRAY(requestId_, server_, kind_, rank_, workspace_, weight_, worth_,
                         repeatable_, timeLeft_, method_, target_, headers_, body_)
};

/// The load of a gate and the weight of its backend server, included in each answer.
struct GateLoadReport
{
    std::uint64_t queued_ = 0;
    std::uint64_t running_ = 0;
    std::int32_t slots_ = 1;
    std::vector<Duration> waitByRank_; ///< Expected wait of a new request of each rank.
    double weight_ = 1.0;              ///< 0 to 1, depends on the server's health.
    Duration expectedServiceTime_{};   ///< Of the request's kind; zero if unknown.

    MSGPACK_DEFINE_ARRAY(queued_, running_, slots_, waitByRank_, weight_, expectedServiceTime_)
};

/// Sent by a gate with the result of a request.
struct ExecuteAnswer
{
    RequestId requestId_;
    BackendServerId server_;
    std::string errorKind_; ///< Stable name of an ErrorKind; empty if there is a response.
    std::string errorMessage_;
    std::int32_t status_ = 0;
    std::vector<HeaderField> headers_;
    std::string body_;
    GateLoadReport loadReport_;

    MSGPACK_DEFINE_ARRAY(requestId_, server_, errorKind_, errorMessage_, status_, headers_, body_,
                         loadReport_)
};

/// Sent by an entry to cancel a request whose caller disconnected.
struct CancelRequest
{
    RequestId requestId_;
    BackendServerId server_;

    MSGPACK_DEFINE_ARRAY(requestId_, server_)
};

/// Returns an answer that reports @p error.
ExecuteAnswer makeErrorAnswer(const RequestId &requestId, const BackendServerId &server,
                              const Error &error);

/// Returns the response in @p answer, or the error that it reports. Reads an unknown error name,
/// from an instance of a newer version, as Internal, whose outcome is unknown.
Result<HttpResponse> toResult(ExecuteAnswer answer);

/// Returns the header fields that a proxy forwards: all but the hop-by-hop ones.
std::vector<HeaderField> toFields(const HttpHeaders &headers);

HttpHeaders toHeaders(const std::vector<HeaderField> &fields);

} // namespace qz
