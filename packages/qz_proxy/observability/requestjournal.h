// Records of the last requests that this instance served, for `quetzalctl requests explain`.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace qz {

/// One attempt to send a request to a backend server.
struct RequestAttempt
{
    BackendServerId server_;
    InstanceId gate_;
    std::string result_; ///< "answered" or the name of an error kind.
    Duration took_{};
};

/// The outcome of a request, its cause and its attempts.
struct RequestRecord
{
    RequestId id_;
    RequestId callerRequestId_; ///< The caller's X-Request-Id; empty if absent.
    WorkspaceId workspace_;
    std::string kind_;
    std::string rank_;
    RulesVersion rulesVersion_ = 0;
    std::vector<RequestAttempt> attempts_;
    std::string outcome_;
    std::string cause_; ///< Name of an error kind; empty if answered.
    std::string message_;
    Duration took_{};

    nlohmann::json toJson() const;
};

/// Stores a limited number of records; removes the oldest ones.
class RequestJournal
{
public:
    /// @p limit: maximum number of records.
    explicit RequestJournal(std::size_t limit)
        : limit_(limit)
    {
    }

    void add(RequestRecord record);
    std::optional<RequestRecord> find(const RequestId &id) const;

private:
    const std::size_t limit_;
    std::deque<RequestId> order_; ///< The keys of records_ by age; at most limit_.
    std::unordered_map<RequestId, RequestRecord> records_;
};

} // namespace qz
