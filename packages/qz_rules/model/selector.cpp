// Matching of selectors.
#include "qz_rules/model/selector.h"

#include <algorithm>

namespace qz {

bool Selector::matches(const Labels &labels) const
{
    return std::all_of(required_.begin(), required_.end(), [&labels](const auto &label) {
        const auto found = labels.find(label.first);
        return found != labels.end() && found->second == label.second;
    });
}

} // namespace qz
