// Implements smooth weighted round-robin.
#include "qz_routing/table/trafficsplit.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Number of points of the sequence at which a process may start. 100 points are enough for shares
/// of a few percent.
constexpr int startPoints = 100;

bool isSame(const std::vector<TrafficShare> &a, const std::vector<TrafficShare> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.service_ == y.service_ && x.weight_ == y.weight_;
    });
}

} // namespace

TrafficSplit::Credits TrafficSplit::makeCredits(const RequestRoute &route, std::mt19937_64 &random)
{
    Credits credits{ route.shares_, std::vector<double>(route.shares_.size(), 0.0) };
    std::uniform_int_distribution<int> steps(0, startPoints - 1);
    for (int remaining = steps(random); remaining > 0; --remaining) {
        step(route, credits);
    }
    return credits;
}

std::size_t TrafficSplit::step(const RequestRoute &route, Credits &credits)
{
    std::vector<double> &values = credits.values_;
    double total = 0.0;
    for (std::size_t i = 0; i < values.size(); ++i) {
        values[i] += route.shares_[i].weight_;
        total += route.shares_[i].weight_;
    }
    const auto best = static_cast<std::size_t>(std::max_element(values.begin(), values.end())
                                               - values.begin());
    values[best] -= total;
    return best;
}

const ServiceId &TrafficSplit::next(const RequestRoute &route, std::mt19937_64 &random)
{
    if (route.shares_.size() == 1) {
        return route.shares_.front().service_;
    }
    auto found = routes_.find(route.name_);
    if (found == routes_.end() || !isSame(found->second.shares_, route.shares_)) {
        found = routes_.insert_or_assign(route.name_, makeCredits(route, random)).first;
    }
    return route.shares_[step(route, found->second)].service_;
}

} // namespace qz
