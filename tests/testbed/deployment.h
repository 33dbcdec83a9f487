// The two users' deployments as plans: places, services, kinds of work, rules.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <string>
#include <vector>

namespace qz::testing {

struct PlannedKind
{
    std::string name_;
    std::string service_;
    std::string method_;
    std::string path_;
    std::string rank_;
    Duration deadline_;
    bool isRepeatable_ = true;
    double share_ = 0; ///< Of the offered requests.
    double worth_ = 1;
};

struct PlannedRank
{
    std::string name_;
    Duration target_;
    double share_ = 0;
};

struct Deployment
{
    std::string name_;
    std::vector<Location> places_; ///< The failure domains, with their regions.
    std::vector<std::string> services_;
    int serversPerService_ = 8;
    int slots_ = 2;
    std::vector<PlannedRank> ranks_; ///< The most urgent first.
    std::vector<PlannedKind> kinds_;
    double floor_ = 0.5;

    /// The rules document of this deployment.
    std::string rulesDocument() const;
};

Deployment makeNakhla();
Deployment makeRedAndina();

} // namespace qz::testing
