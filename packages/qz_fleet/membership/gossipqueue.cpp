// Selection of the updates for a message.
#include "qz_fleet/membership/gossipqueue.h"

#include <algorithm>
#include <utility>

namespace qz {

void GossipQueue::add(const InstanceId &member, int transmissions)
{
    if (transmissions > 0) {
        entries_[member] = Entry{ 0, transmissions };
    }
}

std::vector<InstanceId> GossipQueue::selectNext(std::size_t count)
{
    std::vector<std::pair<int, InstanceId>> order;
    order.reserve(entries_.size());
    for (const auto &[member, entry] : entries_) {
        order.emplace_back(entry.sentCount_, member);
    }
    count = std::min(count, order.size());
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), end, order.end());
    std::vector<InstanceId> chosen;
    chosen.reserve(count);
    for (auto choice = order.begin(); choice != end; ++choice) {
        const auto entry = entries_.find(choice->second);
        if (++entry->second.sentCount_ >= entry->second.transmissions_) {
            entries_.erase(entry);
        }
        chosen.push_back(std::move(choice->second));
    }
    return chosen;
}

} // namespace qz
