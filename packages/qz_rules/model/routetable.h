// Finds the labels that a request's path and method put on it.
#pragma once

#include "qz_platform/instances/instancelist.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace qz {

/// One route: work under a path prefix, of one method or of all, carries some labels.
struct Route
{
    std::string pathPrefix_; ///< Starts with "/"; matches whole path segments.
    std::string method_;     ///< Empty: any method.
    Labels labels_;
};

/// Routes by path prefix. A lookup costs one hash lookup for each segment of the path, up
/// to the deepest prefix in the table, and does not depend on the number of routes.
///
/// The longest prefix wins; of two with the same prefix, the one that names the method.
/// "/orders" matches "/orders" and "/orders/7" and "/orders?x=1", not "/orderly".
/// @see RuleSet
class RouteTable
{
public:
    /// The position of a label set, see labelSet().
    using LabelSetIndex = std::size_t;
    static constexpr LabelSetIndex noRoute = 0; ///< The label set of work without a route.

    RouteTable() = default;
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// Adds @p route; false if one with the same prefix and method is there.
    bool add(const Route &route);

    /// The labels for a request, or noRoute.
    LabelSetIndex find(std::string_view method, std::string_view path) const;

    const Labels &labelSet(LabelSetIndex index) const { return labelSets_[index]; }
    std::size_t labelSetCount() const { return labelSets_.size(); }
    std::size_t size() const { return size_; }

private:
    struct MethodEntry
    {
        std::string method_;
        LabelSetIndex labelSet_ = noRoute;
    };
    using MethodEntries = std::vector<MethodEntry>;

    LabelSetIndex internLabels(const Labels &labels);
    std::string_view cutToDepth(std::string_view path) const;

    std::deque<std::string> prefixes_; ///< Owns the keys of routes_; elements never move.
    std::unordered_map<std::string_view, MethodEntries> routes_;
    std::map<Labels, LabelSetIndex> labelSetIndexes_;
    std::vector<Labels> labelSets_{ Labels{} }; ///< Each distinct set once.
    std::size_t deepest_ = 0;                   ///< Segments of the deepest prefix.
    std::size_t size_ = 0;
};

} // namespace qz
