// Which instances group the claims of which keys.
#pragma once

#include "qz_core/ids/ids.h"

#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// Chooses few instances among the live ones as claim homes, and for each row an order of
/// them. Instances that see different members may choose different homes; the condition on
/// the row decides all the same, and only the size of groups suffers.
/// @see ClaimRouter, ClaimHome
class ClaimHomes
{
public:
    explicit ClaimHomes(std::size_t count)
        : count_(count)
    {
    }

    /// Work in proportion to the members; to be called when they change.
    void setMembers(const std::vector<InstanceId> &members);

    /// The homes of a row, first choice first; empty before the first members.
    std::vector<InstanceId> homesOf(std::string_view rowKey) const;

private:
    const std::size_t count_;
    std::vector<std::string> homes_; ///< At most count_.
};

} // namespace qz
