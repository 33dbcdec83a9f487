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

/// Counts requests by service and outcome, attempts by result, and ejections of backend servers.
/// The labels have few values: services come from the configuration, all others from fixed sets.
class ForwardMetrics
{
public:
    ForwardMetrics();
    ForwardMetrics(const ForwardMetrics &) = delete;
    ForwardMetrics &operator=(const ForwardMetrics &) = delete;

    void countRequest(const std::string &service, const std::string &outcome, Duration elapsed);
    void countAttempt(const std::string &service, AttemptResult result);
    void countEjection(const std::string &service);
    void countStoreCall(const std::string &call, const std::string &outcome);
    void setConfigVersion(double version);
    void setBackendCount(double count);
    void setConnectionCount(double count);
    void setQuarantinedRequests(double count);
    void setLostPaths(double count);

    /// Returns all metrics in the Prometheus text format.
    std::string format() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &attempts_;
    prometheus::Family<prometheus::Counter> &ejections_;
    prometheus::Family<prometheus::Counter> &storeCalls_;
    prometheus::Family<prometheus::Histogram> &seconds_;
    prometheus::Gauge &configVersion_;
    prometheus::Gauge &backends_;
    prometheus::Gauge &connections_;
    prometheus::Gauge &quarantinedRequests_;
    prometheus::Gauge &lostPaths_;
};

} // namespace qz
