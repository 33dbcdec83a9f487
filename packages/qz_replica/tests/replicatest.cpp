// Tests of table replicas, and of their distribution between instances over real links.
#include "qz_replica/qz_replica.h"

#include "qz_fleet/messages/packing.h"
#include "qz_http/tests/rawsocket.h"
#include "qz_presence/exchange/presencedriver.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <memory>

using namespace std::chrono_literals;

namespace {

qz::TableUpdate makeSnapshot(std::uint64_t version, std::vector<qz::ReplicaRow> rows,
                             const std::string &table = "t")
{
    qz::TableUpdate update;
    update.table_ = table;
    update.isSnapshot_ = true;
    update.version_ = version;
    update.rows_ = std::move(rows);
    return update;
}

qz::TableUpdate makeChange(std::uint64_t from, std::uint64_t version,
                           std::vector<qz::ReplicaRow> rows)
{
    qz::TableUpdate update = makeSnapshot(version, std::move(rows));
    update.isSnapshot_ = false;
    update.fromVersion_ = from;
    return update;
}

/// Two of three instances that know each other take callers.
qz::InstanceDirectory::Limits makeLimits()
{
    qz::InstanceDirectory::Limits limits;
    limits.instancesPerEntry_ = 2;
    return limits;
}

/// One instance with its links and replicas.
struct Node
{
    Node(qz::EventLoop &loop, const std::string &name, const std::string &domain)
        : record_{ qz::InstanceId(name),
                   { "127.0.0.1", 1 },
                   { "127.0.0.1", qz::testing::findFreePort() },
                   { qz::RegionId("r"), qz::FailureDomainId(domain) } }
        , directory_(record_, makeLimits())
    {
        qz::PeerLinks::Builder builder;
        builder.setLoop(loop).setSelf(record_.id_, "1").setListenEndpoint(record_.peerEndpoint_);
        builder.setFleetKey("a key of this test");
        links_ = builder.build();
        BOOST_REQUIRE(links_->start().has_value());
        presence_ = std::make_unique<qz::PresenceDriver>(loop, *links_, directory_);
        replicas_ = std::make_unique<qz::ReplicaExchange>(loop, *links_, directory_);
        for (const char *table : { "t", "u" }) {
            replicas_->addTable(table, [this](const qz::TableUpdate &) { ++updates_; });
        }
        presence_->setVersionsProvider([this] { return replicas_->versions(); });
        presence_->setVersionsHandler([this](const qz::InstanceId &from, const auto &versions) {
            replicas_->requestNewerTables(from, versions);
        });
        replicas_->start();
    }

    qz::InstanceRecord record_;
    qz::InstanceDirectory directory_;
    std::unique_ptr<qz::PeerLinks> links_;
    std::unique_ptr<qz::PresenceDriver> presence_;
    std::unique_ptr<qz::ReplicaExchange> replicas_;
    int updates_ = 0;
};

void addAllInstances(const std::vector<Node *> &nodes)
{
    std::vector<qz::InstanceRecord> records;
    records.reserve(nodes.size());
    for (const Node *node : nodes) {
        records.push_back(node->record_);
    }
    for (Node *node : nodes) {
        node->presence_->addInstances(records);
    }
}

/// What a link of 10 Mbit/s transfers in 0.4 s.
constexpr std::size_t narrowLinkBytes = 500'000;

/// A row like a configuration with many routes.
const qz::ReplicaRow largeRow{ "config", std::string(200'000, 'c'), false };

/// Instances of one failure domain that know each other and exchange presence messages.
struct Domain
{
    Domain(qz::EventLoop &loop, int count)
    {
        for (int i = 0; i < count; ++i) {
            nodes_.push_back(std::make_unique<Node>(loop, "n" + std::to_string(i), "d"));
            all_.push_back(nodes_.back().get());
        }
        addAllInstances(all_);
        for (Node *node : all_) {
            node->presence_->start();
        }
        loop.runFor(200ms);
    }

    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Node *> all_;
};

} // namespace

BOOST_AUTO_TEST_CASE(largeTableReachesAllInstancesAndIsAppliedOnce)
{
    qz::EventLoop loop;
    Domain domain(loop, 8);
    const std::vector<Node *> &all = domain.all_;
    constexpr int count = 400;
    std::vector<qz::ReplicaRow> rows;
    rows.reserve(count);
    for (int i = 0; i < count; ++i) {
        rows.push_back({ "k" + std::to_string(i), std::string(250, 'v'), false });
    }
    all[0]->replicas_->publish(makeSnapshot(7, rows));
    loop.runFor(1500ms);
    for (const Node *node : all) {
        BOOST_TEST(node->replicas_->version("t") == 7);
        BOOST_TEST(node->updates_ == 1);
    }
}

// Guards against a reader whose link is busy for seconds with one large configuration.
BOOST_AUTO_TEST_CASE(largeChangeIsNotSentToTheWholeDomainByOneInstance)
{
    qz::EventLoop loop;
    Domain domain(loop, 12);
    Node &reader = *domain.all_[0];
    reader.replicas_->publish(makeSnapshot(7, { { "config", "small", false } }));
    loop.runFor(200ms);
    reader.replicas_->publish(makeChange(7, 9, { largeRow }));
    BOOST_TEST(reader.links_->unsentBytes() < narrowLinkBytes);
    loop.runFor(2s);
    for (const Node *node : domain.all_) {
        BOOST_TEST(node->replicas_->version("t") == 9);
        BOOST_TEST(node->updates_ == 2);
    }
}

// Guards against instances that all request a large table from the first one that announces it.
BOOST_AUTO_TEST_CASE(largeTableIsNotSentToAllThatRequestItAtOnce)
{
    qz::EventLoop loop;
    Domain domain(loop, 12);
    Node &holder = *domain.all_[0];
    std::size_t receivedBytes = 0;
    for (Node *node : domain.all_) {
        if (node == &holder) {
            continue;
        }
        // Not ReplicaExchange: the requests are to arrive at the same moment.
        node->links_->setHandler(qz::MessageKind::TableUpdate,
                                 [&receivedBytes](const auto &, std::string_view payload) {
                                     receivedBytes += payload.size();
                                 });
        node->presence_->setVersionsHandler(nullptr);
    }
    holder.replicas_->publish(makeSnapshot(7, { largeRow }));
    loop.runFor(1500ms);
    receivedBytes = 0;
    for (Node *node : domain.all_) {
        if (node != &holder) {
            (void)node->links_->send(holder.record_.id_, qz::MessageKind::TableRequest,
                                     qz::packMessage(qz::TableRequestMessage{ "t", 3 }));
        }
    }
    loop.runFor(100ms);
    BOOST_TEST(receivedBytes > 0);
    BOOST_TEST(receivedBytes < narrowLinkBytes);
}

// Guards against a large change that two readers leave to each other to send on.
BOOST_AUTO_TEST_CASE(largeChangeThatTwoReadersHaveReachesTheOthersWithoutARequest)
{
    qz::EventLoop loop;
    Domain domain(loop, 4);
    const auto publishAtBothReaders = [&domain](const qz::TableUpdate &update) {
        domain.all_[0]->replicas_->publish(update);
        domain.all_[1]->replicas_->publish(update);
    };
    int requests = 0;
    for (Node *node : domain.all_) {
        node->links_->setHandler(qz::MessageKind::TableRequest,
                                 [&requests](const auto &, std::string_view) { ++requests; });
    }
    publishAtBothReaders(makeSnapshot(5, { largeRow }));
    publishAtBothReaders(makeChange(5, 7, { largeRow }));
    loop.runFor(2s);
    for (const Node *node : domain.all_) {
        BOOST_TEST(node->replicas_->version("t") == 7);
    }
    BOOST_TEST(requests == 0);
}

// Guards against changes that are rejected as gaps, because an update without rows overtook a large
// one that other instances passed on.
BOOST_AUTO_TEST_CASE(changeIsAppliedAfterAnUpdateWithoutRowsWasMissed)
{
    qz::EventLoop loop;
    Node a(loop, "a", "d");
    Node b(loop, "b", "d");
    addAllInstances({ &a, &b });
    a.replicas_->publish(makeSnapshot(5, { { "k", "1", false } }));
    loop.runFor(200ms);
    std::vector<std::string> messages;
    b.links_->setHandler(qz::MessageKind::TableUpdate,
                         [&messages](const auto &, std::string_view payload) {
                             messages.emplace_back(payload);
                         });
    a.replicas_->publish(makeChange(5, 7, { { "k", "2", false } }));
    a.replicas_->publish(makeChange(7, 9, {}));
    a.replicas_->publish(makeChange(9, 11, { { "k", "3", false } }));
    loop.runFor(100ms);
    BOOST_REQUIRE(messages.size() == 3);
    b.replicas_->start();
    for (const int index : { 1, 0, 2 }) {
        BOOST_REQUIRE(a.links_->send(b.record_.id_, qz::MessageKind::TableUpdate, messages[index])
                              .has_value());
    }
    loop.runFor(100ms);
    BOOST_TEST(b.replicas_->version("t") == 11);
}

// Guards against requests for a whole table of which no row has changed.
BOOST_AUTO_TEST_CASE(tableIsNotRequestedAfterAnUpdateWithoutRowsWasMissed)
{
    qz::EventLoop loop;
    Domain domain(loop, 2);
    Node &a = *domain.all_[0];
    Node &b = *domain.all_[1];
    a.replicas_->publish(makeSnapshot(5, { { "k", "1", false } }));
    loop.runFor(200ms);
    int requests = 0;
    a.links_->setHandler(qz::MessageKind::TableRequest,
                         [&requests](const auto &, std::string_view) { ++requests; });
    b.links_->setHandler(qz::MessageKind::TableUpdate, [](const auto &, std::string_view) {});
    a.replicas_->publish(makeChange(5, 9, {}));
    loop.runFor(1500ms);
    BOOST_TEST(requests == 0);
    a.replicas_->publish(makeChange(9, 11, { { "k", "2", false } }));
    loop.runFor(1500ms);
    BOOST_TEST(requests > 0);
}

BOOST_AUTO_TEST_CASE(instancesWithDifferentListsOfInstancesExchangeThem)
{
    qz::EventLoop loop;
    Node a(loop, "a", "d");
    Node b(loop, "b", "d");
    Node c(loop, "c", "d");
    Node remote(loop, "r", "e");
    // The state after a simultaneous start: two instances that register at the same time do not
    // see each other in the store.
    a.presence_->addInstances({ b.record_ });
    c.presence_->addInstances({ b.record_, remote.record_ });
    for (Node *node : { &a, &b, &c }) {
        node->presence_->setState({ true, false });
        node->presence_->start();
    }
    loop.runFor(1500ms);
    BOOST_TEST(a.directory_.isInSameDomain(c.record_.id_));
    BOOST_TEST(c.directory_.isInSameDomain(a.record_.id_));
    BOOST_TEST(a.directory_.all().size() == 3);
    BOOST_TEST(a.directory_.digest() == b.directory_.digest());
    BOOST_TEST(a.directory_.digest() == c.directory_.digest());
    BOOST_TEST(a.directory_.entries(loop.now()).size() == 2);
}

BOOST_AUTO_TEST_CASE(versionsOnlyIncreaseAndGapsAreRejected)
{
    qz::TableReplica replica("t");
    BOOST_TEST(!replica.apply(makeChange(0, 3, { { "a", "1", false } })));
    BOOST_TEST(replica.apply(makeSnapshot(5, { { "a", "1", false }, { "b", "2", false } })));
    BOOST_TEST(!replica.apply(makeSnapshot(5, {})));
    BOOST_TEST(!replica.apply(makeSnapshot(4, {})));
    BOOST_TEST(!replica.apply(makeChange(6, 8, {})));
    BOOST_TEST(replica.apply(makeChange(4, 7, { { "a", "", true }, { "c", "3", false } })));
    const auto snapshot = replica.makeSnapshot();
    BOOST_TEST(snapshot.version_ == 7);
    BOOST_REQUIRE(snapshot.rows_.size() == 2);
    BOOST_TEST(snapshot.rows_[0].key_ == "b");
    BOOST_TEST(snapshot.rows_[1].key_ == "c");
}

BOOST_AUTO_TEST_CASE(updateReachesTheDomainOnceAndIsNotForwarded)
{
    qz::EventLoop loop;
    Node a(loop, "a", "d");
    Node b(loop, "b", "d");
    Node c(loop, "c", "d");
    addAllInstances({ &a, &b, &c });
    a.replicas_->publish(makeSnapshot(3, { { "k", "v", false } }));
    loop.runFor(300ms);
    BOOST_TEST(b.replicas_->version("t") == 3);
    BOOST_TEST(c.replicas_->version("t") == 3);
    // The second reader has read the same version from the store.
    b.replicas_->publish(makeSnapshot(3, { { "k", "v", false } }));
    loop.runFor(100ms);
    BOOST_TEST(a.updates_ == 1);
    BOOST_TEST(b.updates_ == 1);
    BOOST_TEST(c.updates_ == 1);
}

BOOST_AUTO_TEST_CASE(laterStartedInstanceGetsTheTablesFromItsDomain)
{
    qz::EventLoop loop;
    Node a(loop, "a", "d");
    a.presence_->start();
    a.replicas_->publish(makeSnapshot(3, { { "k", "v", false } }));
    Node late(loop, "late", "d");
    late.presence_->start();
    addAllInstances({ &a, &late });
    loop.runFor(900ms);
    BOOST_TEST(late.replicas_->version("t") == 3);
}

BOOST_AUTO_TEST_CASE(domainWithoutStoreAccessGetsEachTableFromAnotherDomain)
{
    qz::EventLoop loop;
    Node a(loop, "a", "d");
    Node b(loop, "b", "e");
    Node c(loop, "c", "e");
    addAllInstances({ &a, &b, &c });
    // Two tables change at the same time; both must be requested.
    a.replicas_->publish(makeSnapshot(3, { { "k", "v", false } }, "t"));
    a.replicas_->publish(makeSnapshot(4, { { "k", "v", false } }, "u"));
    loop.runFor(300ms);
    BOOST_TEST(b.replicas_->version("t") == 0); // Its own reader gets time to read the store.
    loop.runFor(900ms);
    for (const Node *node : { &b, &c }) {
        BOOST_TEST(node->replicas_->version("t") == 3);
        BOOST_TEST(node->replicas_->version("u") == 4);
    }
}

// Guards against a version that does not reach a domain without access to the store, because the
// first instance that announced it is gone.
BOOST_AUTO_TEST_CASE(tableIsRequestedFromAnotherDomainIfItsFirstAnnouncerIsGone)
{
    qz::EventLoop loop;
    auto first = std::make_unique<Node>(loop, "a", "d");
    Node second(loop, "x", "f");
    Node b(loop, "b", "e");
    Node c(loop, "c", "e");
    addAllInstances({ first.get(), &second, &b, &c });
    first->replicas_->publish(makeSnapshot(3, { { "k", "v", false } }));
    loop.runFor(200ms);
    second.replicas_->publish(makeSnapshot(3, { { "k", "v", false } }));
    loop.runFor(200ms);
    first.reset();
    loop.runFor(1400ms);
    BOOST_TEST(b.replicas_->version("t") == 3);
    BOOST_TEST(c.replicas_->version("t") == 3);
}

// Guards against requests from instances that do not know the limit of a server, or that it leaves.
BOOST_AUTO_TEST_CASE(serverStatementReachesAllInstances)
{
    qz::EventLoop loop;
    Node a(loop, "a", "d");
    Node b(loop, "b", "d");
    Node c(loop, "c", "d");
    Node remote1(loop, "r1", "e");
    Node remote2(loop, "r2", "e");
    const std::vector<Node *> all{ &a, &b, &c, &remote1, &remote2 };
    addAllInstances(all);
    std::vector<double> rates;
    int leaving = 0;
    for (Node *node : all) {
        node->presence_->setState({ true, false });
        node->presence_->start();
        node->presence_->setServerStatementHandler(
                [&](const qz::ServerStatementMessage &statement) {
                    rates.push_back(statement.requestsPerSecond_);
                    leaving += statement.isLeaving_ ? 1 : 0;
                });
    }
    loop.runFor(600ms);
    a.presence_->sendServerStatement({ qz::BackendServerId("s"), 1, true, 2.5, true });
    a.presence_->sendServerStatement({ qz::BackendServerId("s"), 1, true, std::nan(""), false });
    loop.runFor(200ms);
    BOOST_TEST(rates.size() == 4);
    BOOST_TEST(leaving == 4);
    for (const double rate : rates) {
        BOOST_TEST(rate == 2.5);
    }
}
