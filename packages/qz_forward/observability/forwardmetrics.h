// Prometheus metrics of forwarded requests.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_placement/health/serverhealth.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace qz {

/// Counts requests by service and outcome, tries by result, and holds of servers. Labels
/// have few values: services come from the configuration, the others from closed lists.
class ForwardMetrics
{
public:
    ForwardMetrics();
    ForwardMetrics(const ForwardMetrics &) = delete;
    ForwardMetrics &operator=(const ForwardMetrics &) = delete;

    void countRequest(const std::string &service, const std::string &outcome, Duration took);
    void countAttempt(const std::string &service, AttemptResult result);
    void countEjection(const std::string &service);
    void countStoreCall(const std::string &call, const std::string &outcome);
    void setConfigVersion(double version);
    void setBackendCount(double count);
    void setConnectionCount(double count);

    /// The text form of Prometheus.
    std::string format() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &tries_;
    prometheus::Family<prometheus::Counter> &holds_;
    prometheus::Family<prometheus::Counter> &storeCalls_;
    prometheus::Family<prometheus::Histogram> &seconds_;
    prometheus::Gauge &configVersion_;
    prometheus::Gauge &backends_;
    prometheus::Gauge &connections_;
};

} // namespace qz
