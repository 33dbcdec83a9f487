// The platform's list of live and leaving instances, as the other packages see it. It lags.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace qz {

using Labels = std::map<std::string, std::string>;

enum class ListedState { Live, Leaving };

/// An entry instance as listed.
struct ListedInstance
{
    InstanceId id_;
    Location location_;
    Endpoint callerEndpoint_; ///< Where callers connect, by HTTP.
    Endpoint peerEndpoint_;   ///< Where other instances connect.
    ListedState state_ = ListedState::Live;
};

/// A backend server as listed.
struct ListedBackendServer
{
    BackendServerId id_;
    Location location_;
    Endpoint endpoint_;
    Labels labels_; ///< As the platform knows them; operators' labels go before these.
    int slots_ = 1; ///< Requests that it runs at the same time.
    int connectionLimit_ = 1;
    ListedState state_ = ListedState::Live;
};

struct InstanceListing
{
    std::vector<ListedInstance> instances_;
    std::vector<ListedBackendServer> backendServers_;
};

/// Reads the platform's JSON. Errors: MalformedReply.
Result<InstanceListing> parseInstanceListing(const std::string &text);

/// Writes the platform's JSON.
std::string formatInstanceListing(const InstanceListing &listing);

/// The list of instances. Errors as for Table.
class InstanceList
{
public:
    using Done = std::function<void(Result<InstanceListing>)>;

    InstanceList() = default;
    InstanceList(const InstanceList &) = delete;
    InstanceList &operator=(const InstanceList &) = delete;
    virtual ~InstanceList() = default;

    virtual void fetch(Done done) = 0;
};

} // namespace qz
