// Tests of claims by claim homes.
#include "qz_once/homes/claimrouter.h"
#include "claimfixture.h"
#include "qz_once/homes/claimhome.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace qz;
using namespace std::chrono_literals;

namespace {

/// An entry instance whose claims go by one claim home, over a link that the test controls.
struct HomeFixture : ClaimFixture
{
    enum class Link { Works, Refuses, Swallows };

    HomeFixture()
    {
        router_->setMembers({ InstanceId("home") });
        client_ = ClaimClient::Builder()
                          .setTable(table_)
                          .setTimers(timers_)
                          .setClock(clock_)
                          .setSelf(InstanceId("entry"))
                          .setIncarnation("entry-1")
                          .setRowWriter([this](TableWrite write, RowWriteDone done) {
                              router_->write(std::move(write), std::move(done));
                          })
                          .build();
    }

    bool send(const InstanceId &to, const ClaimRequest &request)
    {
        ++sent_;
        if (link_ == Link::Works) {
            home_.handle(request, [this, to](ClaimAnswer answer) {
                if (!losesAnswers_) {
                    router_->onAnswer(to, answer);
                }
            });
        }
        return link_ != Link::Refuses;
    }

    static RowWriter writerOf(ClaimBatcher &batcher)
    {
        return [&batcher](TableWrite write, RowWriteDone done) {
            batcher.write(std::move(write), std::move(done));
        };
    }

    Link link_ = Link::Works;
    bool losesAnswers_ = false;
    int sent_ = 0;
    ClaimBatcher homeBatcher_{ table_, timers_, clock_ };
    ClaimBatcher ownBatcher_{ table_, timers_, clock_ };
    ClaimHome home_{ writerOf(homeBatcher_) };
    std::unique_ptr<ClaimRouter> router_ =
            ClaimRouter::Builder()
                    .setTimers(timers_)
                    .setClock(clock_)
                    .setSelf(InstanceId("entry"))
                    .setSend([this](const InstanceId &to, const ClaimRequest &request) {
                        return send(to, request);
                    })
                    .setDirectWriter(writerOf(ownBatcher_))
                    .build();
    std::unique_ptr<ClaimClient> client_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claimRouter, HomeFixture)

BOOST_AUTO_TEST_CASE(aClaimGoesByItsHome)
{
    BOOST_TEST(claimNow(*client_).has_value());
    BOOST_TEST(homeBatcher_.commitCount() == 1U);
    BOOST_TEST(ownBatcher_.commitCount() == 0U);
}

BOOST_AUTO_TEST_CASE(anUnreachableHomeIsPassedBy)
{
    link_ = Link::Refuses;
    BOOST_TEST(claimNow(*client_).has_value());
    BOOST_TEST(ownBatcher_.commitCount() == 1U);
}

BOOST_AUTO_TEST_CASE(aHomeThatIsLostMidClaimIsSettledByReadingBack)
{
    losesAnswers_ = true;
    Answer answer;
    claim(*client_, answer);
    settle(100ms);
    BOOST_TEST(row().has_value());
    BOOST_TEST(!answer.has_value());
    router_->onLinkLost(InstanceId("home"));
    settle(100ms);
    BOOST_TEST(answer.value().has_value());
    BOOST_TEST(answer.value().value().version_ != 0U);
    BOOST_TEST(ownBatcher_.commitCount() == 0U);
}

BOOST_AUTO_TEST_CASE(aHomeThatDoesNotAnswerIsAvoidedByTheNextTry)
{
    link_ = Link::Swallows;
    Answer answer;
    claim(*client_, answer);
    settle(1s);
    BOOST_TEST(answer.value().has_value());
    BOOST_TEST(sent_ == 1);
    BOOST_TEST(ownBatcher_.commitCount() == 1U);
    BOOST_TEST(router_->pendingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(aHomeThatWritesLateDoesNotGrantTwice)
{
    ClaimRequest held;
    auto slow = ClaimRouter::Builder()
                        .setTimers(timers_)
                        .setClock(clock_)
                        .setSelf(InstanceId("entry"))
                        .setSend([&](const InstanceId &, const ClaimRequest &request) {
                            held = request;
                            return true;
                        })
                        .setDirectWriter(writerOf(ownBatcher_))
                        .build();
    std::swap(router_, slow);
    router_->setMembers({ InstanceId("home") });
    const auto other = makeClient("other");
    Answer answer;
    claim(*client_, answer);
    BOOST_TEST(claimNow(*other).has_value());
    settle(1s);
    BOOST_TEST(failsWith(answer.value(), ErrorKind::AlreadyClaimed));
    ClaimWriteResult late = ClaimWriteResult::Undecided;
    home_.handle(held, [&](ClaimAnswer end) { late = end.result_; });
    settle();
    BOOST_TEST((late == ClaimWriteResult::Conflict));
    BOOST_TEST(row().value().claimer_.value() == "other");
}

BOOST_AUTO_TEST_CASE(aHomeWritesNoRowButClaims)
{
    ClaimWriteResult result = ClaimWriteResult::Undecided;
    home_.handle(ClaimRequest{ 1, "rules/head", 0, "{}" },
                 [&](ClaimAnswer answer) { result = answer.result_; });
    settle();
    BOOST_TEST((result == ClaimWriteResult::Unavailable));
    BOOST_TEST(!table_.peek("rules/head").has_value());
}

BOOST_AUTO_TEST_CASE(allInstancesThatSeeTheSameMembersChooseTheSameFewHomes)
{
    std::vector<InstanceId> members;
    members.reserve(32);
    for (int i = 0; i < 32; ++i) {
        members.emplace_back("instance-" + std::to_string(i));
    }
    ClaimHomes some(2);
    ClaimHomes others(2);
    some.setMembers(members);
    std::reverse(members.begin(), members.end());
    others.setMembers(members);
    BOOST_TEST(some.homesOf("once/a/b").size() == 2U);
    BOOST_TEST((some.homesOf("once/a/b") == others.homesOf("once/a/b")));
}

BOOST_AUTO_TEST_SUITE_END()
