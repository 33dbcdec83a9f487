// Metric families and their text format.
#include "qz_forward/observability/forwardmetrics.h"

#include <prometheus/text_serializer.h>

namespace qz {

namespace {

/// Upper bounds of the histogram buckets in seconds, around typical target times of requests.
const prometheus::Histogram::BucketBoundaries bucketBounds{ 0.05, 0.1, 0.2, 0.3, 0.5, 0.75,
                                                            1.0,  1.5, 2.0, 4.0, 8.0 };

prometheus::Family<prometheus::Counter> &makeCounter(prometheus::Registry &registry,
                                                     const std::string &name,
                                                     const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge &makeGauge(prometheus::Registry &registry, const std::string &name,
                             const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

ForwardMetrics::ForwardMetrics()
    : requests_(makeCounter(registry_, "qz_requests_total", "Requests of callers by outcome."))
    , attempts_(makeCounter(registry_, "qz_tries_total", "Sends to backend servers by result."))
    , ejections_(makeCounter(registry_, "qz_holds_total", "Times that a server was held."))
    , storeCalls_(makeCounter(registry_, "qz_store_calls_total", "Calls to the platform's store."))
    , seconds_(prometheus::BuildHistogram()
                       .Name("qz_request_seconds")
                       .Help("From a request's arrival to the end of its answer.")
                       .Register(registry_))
    , configVersion_(makeGauge(registry_, "qz_config_version", "Version in force."))
    , backends_(makeGauge(registry_, "qz_backends", "Backend servers listed."))
    , connections_(makeGauge(registry_, "qz_caller_connections", "Open caller connections."))
    , quarantinedRequests_(makeGauge(registry_, "qz_quarantined_requests",
                                     "Requests that are rejected because they crash servers."))
    , lostPaths_(makeGauge(registry_, "qz_lost_service_paths",
                           "Services whose servers this instance cannot reach."))
{
}

void ForwardMetrics::countRequest(const std::string &service, const std::string &outcome,
                                  Duration elapsed)
{
    requests_.Add({ { "service", service }, { "outcome", outcome } }).Increment();
    seconds_.Add({ { "service", service }, { "outcome", outcome } }, bucketBounds)
            .Observe(std::chrono::duration<double>(elapsed).count());
}

void ForwardMetrics::countAttempt(const std::string &service, AttemptResult result)
{
    attempts_.Add({ { "service", service }, { "result", std::string(toString(result)) } })
            .Increment();
}

void ForwardMetrics::countEjection(const std::string &service)
{
    ejections_.Add({ { "service", service } }).Increment();
}

void ForwardMetrics::countStoreCall(const std::string &call, const std::string &outcome)
{
    storeCalls_.Add({ { "call", call }, { "outcome", outcome } }).Increment();
}

void ForwardMetrics::setConfigVersion(double version)
{
    configVersion_.Set(version);
}

void ForwardMetrics::setBackendCount(double count)
{
    backends_.Set(count);
}

void ForwardMetrics::setConnectionCount(double count)
{
    connections_.Set(count);
}

void ForwardMetrics::setQuarantinedRequests(double count)
{
    quarantinedRequests_.Set(count);
}

void ForwardMetrics::setLostPaths(double count)
{
    lostPaths_.Set(count);
}

std::string ForwardMetrics::format() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace qz
