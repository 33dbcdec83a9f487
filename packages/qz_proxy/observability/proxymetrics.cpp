// Prometheus metrics of requests from callers.
#include "qz_proxy/observability/proxymetrics.h"

#include <prometheus/text_serializer.h>

namespace qz {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBounds{ 0.001, 0.0025, 0.005, 0.01, 0.025,
                                                             0.05,  0.1,    0.25,  0.5,  1.0,
                                                             2.5,   5.0,    10.0 }; ///< Seconds.

prometheus::Gauge &addGauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

ProxyMetrics::ProxyMetrics()
    : requests_(prometheus::BuildCounter()
                        .Name("quetzaldale_requests_total")
                        .Help("Requests of callers by outcome, cause and rank")
                        .Register(registry_))
    , attempts_(prometheus::BuildCounter()
                        .Name("quetzaldale_tries_total")
                        .Help("Tries at backend servers by result")
                        .Register(registry_))
    , seconds_(prometheus::BuildHistogram()
                       .Name("quetzaldale_request_seconds")
                       .Help("Time from a whole request to its answer, by rank")
                       .Register(registry_))
    , rulesVersion_(addGauge(registry_, "quetzaldale_rules_version", "The rules version adopted"))
    , members_(addGauge(registry_, "quetzaldale_members", "Live and leaving instances known"))
{
}

void ProxyMetrics::record(const RequestRecord &record)
{
    requests_
            .Add({ { "outcome", record.outcome_ },
                   { "cause", record.cause_ },
                   { "rank", record.rank_ } })
            .Increment();
    for (const RequestAttempt &attempt : record.attempts_) {
        attempts_.Add({ { "result", attempt.result_ } }).Increment();
    }
    const double seconds = std::chrono::duration<double>(record.took_).count();
    seconds_.Add({ { "rank", record.rank_ } }, latencyBounds).Observe(seconds);
}

void ProxyMetrics::setRulesVersion(RulesVersion version)
{
    rulesVersion_.Set(static_cast<double>(version));
}

void ProxyMetrics::setMemberCount(std::size_t count)
{
    members_.Set(static_cast<double>(count));
}

std::string ProxyMetrics::format() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace qz
