// Chooses the addresses that a caller should connect to.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace qz {

/// An instance that accepts callers.
struct EntryMember
{
    InstanceId id_;
    Location location_;
    Endpoint endpoint_; ///< The address that callers connect to.
    bool isLeaving_ = false;
};

/// The caller that requests addresses.
struct AddressQuery
{
    std::string caller_;            ///< Identifies the caller; its hash spreads callers evenly.
    FailureDomainId failureDomain_; ///< Of the caller; empty if unknown.
    RegionId region_;               ///< Of the caller; if empty, the region of the failure domain.
};

/// The addresses for one caller, in order of preference.
struct AddressList
{
    std::vector<EntryMember> entries_;
    Duration timeToLive_{}; ///< After this time the caller should request addresses again.

    /// Returns {"addresses": [{"instance", "host", "port", "failure_domain", "region"}], "keep_ms"}
    nlohmann::json toJson() const;
};

/// Chooses addresses from the live members: first the members in the caller's failure domain, then
/// those in its region, then all others. Within each group the order depends on a hash of the
/// caller, which spreads callers evenly. The last places are kept for other failure domains if the
/// list would have fewer than Limits::minFailureDomains_. Leaving instances are not listed.
/// Instances that know the same members return the same list for a caller.
class EntryDirectory
{
public:
    /// Limits of an address list.
    struct Limits
    {
        std::size_t maxAddresses_ = 4;
        std::size_t minFailureDomains_ = 2; ///< Fewer only if the members are in fewer.
        Duration timeToLive_ = std::chrono::seconds(10);
    };

    explicit EntryDirectory(Limits limits);

    /// Returns an empty list only if all of @p members are leaving or there are none. Computes one
    /// hash per member that is not leaving.
    AddressList addressesFor(const AddressQuery &query,
                             const std::vector<EntryMember> &members) const;

private:
    Limits limits_;
};

} // namespace qz
