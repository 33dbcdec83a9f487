// Measurements of a fleet of separate processes.
#include "testbed/measurements.h"

#include "testbed/latencies.h"
#include "testbed/testbed.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace qz::testing {

namespace {

using namespace std::chrono_literals;

constexpr double addedGoalMilliseconds = 4.8; ///< At p99.
constexpr double coreShareGoal = 0.017;
constexpr double memoryGoalMegabytes = 128;

const char *judge(bool isMet)
{
    return isMet ? "met" : "short";
}

/// Sends one request and waits for its answer; nothing if there was none.
std::optional<Duration> timeRequest(EventLoop &loop, HttpClientPool &pool, int number)
{
    HttpRequest request;
    request.target_ = "/catalogue/" + std::to_string(number);
    request.headers_.add("X-Bench-Name", "m" + std::to_string(number));
    const TimePoint sentAt = loop.now();
    std::optional<Duration> took;
    pool.send(request, RequestId("m" + std::to_string(number)), 5s,
              [&](const Result<HttpResponse> &result) {
                  if (result.has_value() && result.value().status_ == 200) {
                      took = loop.now() - sentAt;
                  }
                  loop.stop();
              });
    loop.run();
    return took;
}

Testbed::Plan makePlan(const MeasureContext &context, int instances)
{
    Testbed::Plan plan;
    plan.daemon_ = context.daemon_;
    plan.logDirectory_ = context.logs_;
    plan.instances_ = instances;
    plan.seed_ = context.seed_;
    plan.meanServiceTime_ = Duration::zero();
    return plan;
}

/// Processor time that a process has used so far.
Duration processorTimeOf(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fieldsBeforeTimes = 11;
    for (int i = 0; i < fieldsBeforeTimes; ++i) {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return Duration(std::chrono::seconds(user + system)) / sysconf(_SC_CLK_TCK);
}

double residentMegabytesOf(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Processor time that all daemons have used so far.
Duration processorTimeOf(const std::vector<TestInstance> &instances)
{
    Duration sum{};
    for (const TestInstance &instance : instances) {
        sum += processorTimeOf(instance.process_->id());
    }
    return sum;
}

void measureAddedLatency(const MeasureContext &context)
{
    constexpr int requests = 3000;
    constexpr int warmUp = 300;
    Testbed testbed(makePlan(context, 8));
    if (!testbed.start(30s)) {
        std::cout << "added latency | not run: the fleet did not start\n";
        return;
    }
    HttpClientPool direct(testbed.loop(), testbed.listedBackends()[0].endpoint_, {});
    HttpClientPool fleet(testbed.loop(), testbed.instances()[0].callerEndpoint_, {});
    std::vector<Duration> directTimes;
    std::vector<Duration> fleetTimes;
    const Duration usedBefore = processorTimeOf(testbed.instances());
    for (int i = 0; i < requests; ++i) {
        const auto directTime = timeRequest(testbed.loop(), direct, 2 * i);
        const auto fleetTime = timeRequest(testbed.loop(), fleet, 2 * i + 1);
        if (directTime && fleetTime && i >= warmUp) {
            directTimes.push_back(*directTime);
            fleetTimes.push_back(*fleetTime);
        }
    }
    const Duration used = processorTimeOf(testbed.instances()) - usedBefore;
    const double p50 = percentile(fleetTimes, 0.5) - percentile(directTimes, 0.5);
    const double p99 = percentile(fleetTimes, 0.99) - percentile(directTimes, 0.99);
    std::cout << "added latency, " << fleetTimes.size()
              << " requests one at a time, no network delay | direct p50 "
              << percentile(directTimes, 0.5) << " ms, p99 " << percentile(directTimes, 0.99)
              << " ms | added p50 " << p50 << " ms, p99 " << p99 << " ms | goal "
              << addedGoalMilliseconds << " ms at p99 | " << judge(p99 <= addedGoalMilliseconds)
              << "\nprocessor time of all daemons, rest included | "
              << toMilliseconds(used) / requests << " ms a request" << std::endl;
}

void measureRest(const MeasureContext &context, int instances)
{
    constexpr Duration time = 10s;
    Testbed testbed(makePlan(context, instances));
    if (!testbed.start(30s)) {
        std::cout << "rest, " << instances << " instances | not run: the fleet did not start\n";
        return;
    }
    testbed.loop().runFor(5s);
    const Duration usedBefore = processorTimeOf(testbed.instances());
    const std::size_t readsBefore = testbed.platform().readCount();
    testbed.loop().runFor(time);
    const Duration used = processorTimeOf(testbed.instances()) - usedBefore;
    double megabytes = 0;
    for (const TestInstance &instance : testbed.instances()) {
        megabytes = std::max(megabytes, residentMegabytesOf(instance.process_->id()));
    }
    const double share = toMilliseconds(used) / toMilliseconds(time) / instances;
    const double reads = static_cast<double>(testbed.platform().readCount() - readsBefore) / 10;
    std::cout << "rest, " << instances << " instances | " << share * 100
              << " % of a core each, at most " << megabytes << " MB, table and object reads of all "
              << reads << "/s | goal " << coreShareGoal * 100 << " %, " << memoryGoalMegabytes
              << " MB | " << judge(share <= coreShareGoal && megabytes <= memoryGoalMegabytes)
              << std::endl;
}

} // namespace

void runMeasurements(const MeasureContext &context)
{
    measureAddedLatency(context);
    for (const int instances : { 4, 8, 16, 32 }) {
        measureRest(context, instances);
    }
}

} // namespace qz::testing
