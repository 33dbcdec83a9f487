// The last requests that this instance answered, for `quetzalctl requests explain`.
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

/// One try of a request at one backend server.
struct RequestAttempt
{
    BackendServerId server_;
    InstanceId gate_;
    std::string result_; ///< "answered" or the name of an error kind.
    Duration took_{};
};

/// What became of a request, and why.
struct RequestRecord
{
    RequestId id_;
    RequestId callerRequestId_; ///< As the caller named it; empty if it did not.
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

/// A bounded list of records; the oldest go first.
class RequestJournal
{
public:
    explicit RequestJournal(std::size_t limit)
        : limit_(limit)
    {
    }

    void add(RequestRecord record);
    std::optional<RequestRecord> find(const RequestId &id) const;

private:
    const std::size_t limit_;
    std::deque<RequestId> order_; ///< Never more than limit_, and the keys of records_.
    std::unordered_map<RequestId, RequestRecord> records_;
};

} // namespace qz
