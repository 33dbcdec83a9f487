// Which addresses of the system a caller should use.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace qz {

/// An instance that takes callers.
struct EntryMember
{
    InstanceId id_;
    Location location_;
    Endpoint endpoint_; ///< Where callers connect.
    bool isLeaving_ = false;
};

/// Who asks for addresses.
struct AddressQuery
{
    std::string caller_;            ///< Tells callers apart; its hash spreads them.
    FailureDomainId failureDomain_; ///< Of the caller; empty: unknown.
    RegionId region_;               ///< Of the caller; empty: that of its failure domain.
};

/// The addresses for one caller, best first.
struct AddressList
{
    std::vector<EntryMember> entries_;
    Duration timeToLive_{}; ///< After this time the caller should ask again.

    /// {"addresses": [{"instance", "host", "port", "failure_domain", "region"}], "keep_ms"}
    nlohmann::json toJson() const;
};

/// Chooses addresses from the live members: those of the caller's failure domain first, then
/// of its region, then the others, each group in an order of the caller's own, so that callers
/// spread evenly. Leaving instances are withdrawn. Everything that sees the same members gives
/// a caller the same answer.
class EntryDirectory
{
public:
    /// Limits of an answer.
    struct Limits
    {
        std::size_t maxAddresses_ = 4;
        std::size_t minFailureDomains_ = 2; ///< As far as there are members in so many.
        Duration timeToLive_ = std::chrono::seconds(10);
    };

    explicit EntryDirectory(Limits limits);

    /// Empty only if no member is live. Costs one hash for each member.
    AddressList addressesFor(const AddressQuery &query,
                             const std::vector<EntryMember> &members) const;

private:
    Limits limits_;
};

} // namespace qz
