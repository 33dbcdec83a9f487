// Smooth weighted round-robin.
#include "qz_routing/table/trafficsplit.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Points of the sequence at which a process may start; enough for shares of a few per cent.
constexpr int startSteps = 100;

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
    std::uniform_int_distribution<int> steps(0, startSteps - 1);
    for (int left = steps(random); left > 0; --left) {
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
