// Prometheus metrics of requests from callers.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_proxy/observability/requestjournal.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace qz {

/// Counts requests by outcome, cause and rank, and measures their duration. OperatorService serves
/// the text; no HTTP server or thread of prometheus-cpp runs.
class ProxyMetrics
{
public:
    ProxyMetrics();
    ProxyMetrics(const ProxyMetrics &) = delete;
    ProxyMetrics &operator=(const ProxyMetrics &) = delete;

    void record(const RequestRecord &record);
    void setRulesVersion(RulesVersion version);
    void setMemberCount(std::size_t count);

    /// Returns the metrics in the Prometheus text format.
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
