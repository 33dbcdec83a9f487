// Measures the rules at the size that is aimed for: a document's size and what a change of
// it moves, the time and memory of reading it, the time of lookups, and the spread over
// 1,000 instances. Not a test; run by hand.
#include "qz_rules/tests/ruleharness.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>

using namespace std::chrono_literals;
using nlohmann::json;
using qz::RuleHarness;

namespace {

constexpr int routeCount = 12000;
constexpr int workspaceCount = 93000;
constexpr int serverCount = 13000;
constexpr int serviceCount = 310;
constexpr double secondsPerChange = 86400.0 / 2300.0;

using Stopwatch = std::chrono::steady_clock;

double millisecondsSince(Stopwatch::time_point start)
{
    return std::chrono::duration<double, std::milli>(Stopwatch::now() - start).count();
}

std::string routePath(int i)
{
    return "/service-" + std::to_string(i % serviceCount) + "/collection/" + std::to_string(i);
}

std::string workspaceName(int i)
{
    return "workspace-" + std::to_string(100000 + i);
}

json targetDocument()
{
    json document = qz::exampleDocument();
    document["routes"].clear();
    document["kinds"].clear();
    document["services"].clear();
    document["workspaces"].clear();
    for (int i = 0; i < serviceCount; ++i) {
        const std::string service = "service-" + std::to_string(i);
        document["services"].push_back({ { "name", service }, { "floor", 0.75 } });
        document["kinds"].push_back({ { "name", "work-of-" + service },
                                      { "selector", { { "work", service } } },
                                      { "rank", "loan" },
                                      { "deadline_ms", 3000 },
                                      { "repeatable", i % 5 != 0 },
                                      { "servers", { { "service", service } } } });
    }
    for (int i = 0; i < routeCount; ++i) {
        document["routes"].push_back(
                { { "path_prefix", routePath(i) },
                  { "method", "GET" },
                  { "labels", { { "work", "service-" + std::to_string(i % serviceCount) } } } });
    }
    for (int i = 0; i < workspaceCount; ++i) {
        document["workspaces"].push_back({ { "name", workspaceName(i) }, { "weight", 1 + i % 3 } });
    }
    for (int i = 0; i < serverCount; ++i) {
        document["backend_servers"].push_back({ { "name", "server-" + std::to_string(i) },
                                                { "labels", { { "drain", "false" } } } });
    }
    return document;
}

std::size_t bytesMoved(const qz::RulesDocument &before, const qz::RulesDocument &after)
{
    std::size_t bytes = 0;
    for (const auto &object : after.objects()) {
        bytes += before.objects().count(object.first) == 0 ? object.second->size() : 0;
    }
    return bytes;
}

void measureChanges(const json &document)
{
    const auto start = Stopwatch::now();
    const auto before = qz::RulesDocument::split(document);
    const double splitMs = millisecondsSince(start);
    const std::size_t manifest = before->objects().at(before->hash())->size();
    std::printf("document bytes %zu, objects %zu, manifest bytes %zu, split ms %.1f\n",
                before->text().size(), before->objects().size(), manifest, splitMs);
    std::printf("whole document per change: %.1f KB/s a node\n",
                static_cast<double>(before->text().size()) / secondsPerChange / 1000.0);
    std::size_t worst = 0;
    double total = 0.0;
    constexpr int changes = 60;
    for (int i = 0; i < changes; ++i) {
        json changed = document;
        const std::size_t at = static_cast<std::size_t>(i) * 193;
        switch (i % 3) {
        case 0:
            changed["workspaces"][at]["weight"] = 9;
            break;
        case 1:
            changed["backend_servers"][at]["labels"]["drain"] = "true";
            break;
        default:
            changed["routes"][at]["labels"]["work"] = "service-0";
            break;
        }
        const std::size_t moved = bytesMoved(*before, *qz::RulesDocument::split(changed));
        worst = std::max(worst, moved);
        total += static_cast<double>(moved);
    }
    std::printf("sections per change: mean bytes %.0f, worst %zu, mean %.2f KB/s a node\n",
                total / changes, worst, total / changes / secondsPerChange / 1000.0);
}

std::shared_ptr<const qz::RuleSet> measureParse(const std::string &text)
{
    const auto bytesInUse = [] {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const std::size_t before = bytesInUse();
    const auto start = Stopwatch::now();
    auto rules = qz::RuleSet::parse(text);
    const double parseMs = millisecondsSince(start);
    if (!rules) {
        std::printf("%s\n", rules.error().message_.c_str());
        std::exit(1);
    }
    std::printf("parse ms %.1f, rule set bytes %zu\n", parseMs, bytesInUse() - before);
    return rules.value();
}

void measureLookups(const qz::RuleSet &rules)
{
    constexpr int lookups = 1000000;
    std::vector<std::string> paths;
    std::vector<qz::WorkspaceId> workspaces;
    for (int i = 0; i < 4096; ++i) {
        paths.push_back(routePath(i * 7919 % routeCount) + "/items/42?page=1");
        workspaces.emplace_back(workspaceName(i * 7919 % workspaceCount));
    }
    std::size_t found = 0;
    auto start = Stopwatch::now();
    for (int i = 0; i < lookups; ++i) {
        const auto at = static_cast<std::size_t>(i) % paths.size();
        found += rules.classify({ "GET", paths[at], workspaces[at] }) != nullptr ? 1 : 0;
    }
    std::printf("classify ns %.0f (found %zu of %d)\n", millisecondsSince(start) * 1e6 / lookups,
                found, lookups);
    double weights = 0.0;
    start = Stopwatch::now();
    for (int i = 0; i < lookups; ++i) {
        weights +=
                rules.workspaceWeight(workspaces[static_cast<std::size_t>(i) % workspaces.size()]);
    }
    std::printf("workspaceWeight ns %.0f (sum %.0f)\n", millisecondsSince(start) * 1e6 / lookups,
                weights);
}

void measureSpread(std::size_t count)
{
    RuleHarness harness(count);
    harness.run(3s);
    BOOST_REQUIRE(harness.publishNow(0, 0).has_value());
    harness.run(10s);
    const std::size_t messagesBefore = harness.messageCount_;
    constexpr double idleSeconds = 20.0;
    harness.run(20s);
    const double messages = static_cast<double>(harness.messageCount_ - messagesBefore)
            / static_cast<double>(count) / idleSeconds;
    qz::PublishOutcome outcome;
    harness.publish(count / 2, 1, outcome);
    const std::size_t commits = harness.table_.commitCount();
    while (harness.table_.commitCount() == commits) {
        harness.step();
    }
    const qz::TimePoint written = harness.now();
    while (!outcome) {
        harness.step();
    }
    const qz::Duration acceptance = harness.now() - written;
    while (harness.countInForce(2) < count && harness.now() - written < 60s) {
        harness.step();
    }
    const qz::Duration spread = harness.now() - written;
    qz::Duration oldest{};
    harness.setOutage(true);
    harness.run(30s);
    for (std::size_t i = 0; i < count; ++i) {
        const auto age = harness.node(i).service_->status().confirmationAge_;
        oldest = std::max(oldest, age.value_or(1h));
    }
    std::printf(
            "%zu instances: %.1f messages/s a node, accepted %lld ms and in force everywhere %lld "
            "ms after it was written; in an outage %zu in force, oldest proof %lld ms\n",
            count, messages, static_cast<long long>(acceptance / 1ms),
            static_cast<long long>(spread / 1ms), harness.countInForce(2),
            static_cast<long long>(oldest / 1ms));
}

} // namespace

BOOST_AUTO_TEST_CASE(measureRulesAtTheTargetSize)
{
    const json document = targetDocument();
    measureChanges(document);
    const auto rules = measureParse(document.dump());
    measureLookups(*rules);
}

BOOST_AUTO_TEST_CASE(measureSpreadOfRules)
{
    for (const std::size_t count : { 32U, 200U, 1000U }) {
        measureSpread(count);
    }
}
