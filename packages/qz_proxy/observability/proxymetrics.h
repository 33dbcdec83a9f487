// Prometheus metrics of the callers' side.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_proxy/observability/requestjournal.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace qz {

/// Counts requests by outcome, cause and rank, and how long they took. The text is served by
/// the instance itself; no thread of prometheus-cpp runs.
class ProxyMetrics
{
public:
    ProxyMetrics();
    ProxyMetrics(const ProxyMetrics &) = delete;
    ProxyMetrics &operator=(const ProxyMetrics &) = delete;

    void record(const RequestRecord &record);
    void setRulesVersion(RulesVersion version);
    void setMemberCount(std::size_t count);

    /// The text form of Prometheus.
    std::string format() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Family<prometheus::Counter> &attempts_;
    prometheus::Family<prometheus::Histogram> &seconds_;
    prometheus::Gauge &rulesVersion_;
    prometheus::Gauge &members_;
};

} // namespace qz
