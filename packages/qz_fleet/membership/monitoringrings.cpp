// Orders each monitoring ring by rendezvous hash weights.
#include "qz_fleet/membership/monitoringrings.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace qz {

namespace {

std::vector<InstanceId> orderByHash(const std::string &key, const std::vector<InstanceId> &members)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> weighted;
    weighted.reserve(members.size());
    for (const InstanceId &member : members) {
        weighted.emplace_back(rendezvousWeight(key, member.value()), member);
    }
    std::sort(weighted.begin(), weighted.end());
    std::vector<InstanceId> ordered;
    ordered.reserve(members.size());
    for (auto &entry : weighted) {
        ordered.push_back(std::move(entry.second));
    }
    return ordered;
}

void removeDuplicates(std::vector<InstanceId> &ids)
{
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
}

} // namespace

MonitoringRings::MonitoringRings(std::size_t ringCount)
    : rings_(ringCount)
{
    assert(ringCount > 0);
}

void MonitoringRings::setMembers(const std::vector<InstanceId> &members)
{
    for (std::size_t i = 0; i < rings_.size(); ++i) {
        rings_[i] = orderByHash("monitoring ring " + std::to_string(i), members);
    }
}

std::vector<InstanceId> MonitoringRings::subjectsOf(const InstanceId &member) const
{
    return neighboursOf(member, Direction::Successor);
}

std::vector<InstanceId> MonitoringRings::observersOf(const InstanceId &member) const
{
    return neighboursOf(member, Direction::Predecessor);
}

std::vector<InstanceId> MonitoringRings::neighboursOf(const InstanceId &member,
                                                      Direction direction) const
{
    std::vector<InstanceId> neighbours;
    for (const Ring &ring : rings_) {
        const auto position = std::find(ring.begin(), ring.end(), member);
        if (position == ring.end()) {
            return {};
        }
        if (ring.size() <= 2 * rings_.size()) {
            neighbours = ring;
            break;
        }
        const auto index = static_cast<std::size_t>(position - ring.begin());
        const std::size_t step = direction == Direction::Successor ? 1 : ring.size() - 1;
        neighbours.push_back(ring[(index + step) % ring.size()]);
    }
    removeDuplicates(neighbours);
    neighbours.erase(std::remove(neighbours.begin(), neighbours.end(), member), neighbours.end());
    return neighbours;
}

} // namespace qz
