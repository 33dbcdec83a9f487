// Longest-prefix lookup by path segments.
#include "qz_rules/model/routetable.h"

#include <algorithm>

namespace qz {

namespace {

constexpr std::string_view pathEnd = "?#";

/// The prefix as kept: without the slashes at its end, so that "/" is kept as "".
std::string_view trimmed(std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/') {
        prefix.remove_suffix(1);
    }
    return prefix;
}

std::size_t segmentCount(std::string_view prefix)
{
    return static_cast<std::size_t>(std::count(prefix.begin(), prefix.end(), '/'));
}

} // namespace

bool RouteTable::add(const Route &route)
{
    const std::string_view prefix = trimmed(route.pathPrefix_);
    auto found = routes_.find(prefix);
    if (found == routes_.end()) {
        prefixes_.emplace_back(prefix);
        found = routes_.emplace(prefixes_.back(), MethodEntries{}).first;
    }
    MethodEntries &entries = found->second;
    const bool isTaken =
            std::any_of(entries.begin(), entries.end(), [&route](const MethodEntry &entry) {
                return entry.method_ == route.method_;
            });
    if (isTaken) {
        return false;
    }
    entries.push_back(MethodEntry{ route.method_, internLabels(route.labels_) });
    deepest_ = std::max(deepest_, segmentCount(prefix));
    ++size_;
    return true;
}

RouteTable::LabelSetIndex RouteTable::find(std::string_view method, std::string_view path) const
{
    std::string_view prefix = cutToDepth(path.substr(0, path.find_first_of(pathEnd)));
    while (true) {
        const auto found = routes_.find(prefix);
        if (found != routes_.end()) {
            const MethodEntry *best = nullptr;
            for (const MethodEntry &entry : found->second) {
                if (entry.method_ == method || (entry.method_.empty() && best == nullptr)) {
                    best = &entry;
                }
            }
            if (best != nullptr) {
                return best->labelSet_;
            }
        }
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return noRoute;
        }
        prefix = prefix.substr(0, slash);
    }
}

RouteTable::LabelSetIndex RouteTable::internLabels(const Labels &labels)
{
    const auto [entry, isNew] = labelSetIndexes_.emplace(labels, labelSets_.size());
    if (isNew) {
        labelSets_.push_back(labels);
    }
    return entry->second;
}

std::string_view RouteTable::cutToDepth(std::string_view path) const
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] == '/' && depth++ == deepest_) {
            return path.substr(0, i);
        }
    }
    return path;
}

} // namespace qz
