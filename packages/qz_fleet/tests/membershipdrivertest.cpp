// Tests of MembershipDriver over real links, with a list of instances that can be unavailable.
#include "linknode.h"

#include "qz_fleet/membership/membershipdriver.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace std::chrono_literals;
using qz::MemberChangeKind;
using qz::MemberState;

namespace {

class FakeInstanceList : public qz::InstanceList
{
public:
    void fetch(Done done) override
    {
        if (isUnavailable_) {
            done(qz::failure(qz::ErrorKind::StoreUnavailable, "list is unavailable"));
            return;
        }
        done(listing_);
    }

    qz::InstanceListing listing_;
    bool isUnavailable_ = false;
};

struct DrivenNode
{
    DrivenNode(qz::EventLoop &loop, FakeInstanceList &list, const std::string &name)
        : links_(loop, name)
    {
        qz::Member self;
        self.id_ = links_.id_;
        self.incarnation_ = name + "-1";
        self.peerEndpoint_ = links_.links_->listenEndpoint();
        membership_ = qz::Membership::Builder()
                              .setSelf(self)
                              .setRandom(random_)
                              .setStart(loop.now())
                              .build();
        driver_ = std::make_unique<qz::MembershipDriver>(
                qz::MembershipDriver::Parts{ *membership_, *links_.links_, list, loop, loop });
        driver_->setChangeListener([this](const qz::MemberChange &change) {
            goneCount_ += change.kind_ == MemberChangeKind::Gone ? 1 : 0;
        });
        links_.links_->setLinkLostHandler(
                [this](const qz::InstanceId &) { driver_->handleLinkLost(); });
        qz::ListedInstance listed;
        listed.id_ = self.id_;
        listed.peerEndpoint_ = self.peerEndpoint_;
        list.listing_.instances_.push_back(listed);
    }

    bool sees(const std::string &id, MemberState state) const
    {
        for (const qz::Member &member : membership_->members()) {
            if (member.id_.value() == id) {
                return member.state_ == state && !member.incarnation_.empty();
            }
        }
        return false;
    }

    std::mt19937_64 random_{ 3 };
    qz::LinkNode links_;
    std::unique_ptr<qz::Membership> membership_;
    std::unique_ptr<qz::MembershipDriver> driver_;
    int goneCount_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(threeInstancesTrackEachOtherWhileTheListIsUnavailable)
{
    qz::EventLoop loop;
    FakeInstanceList list;
    DrivenNode a(loop, list, "a");
    DrivenNode b(loop, list, "b");
    auto c = std::make_unique<DrivenNode>(loop, list, "c");
    for (DrivenNode *node : { &a, &b, c.get() }) {
        node->driver_->start();
    }
    const auto see = [&](MemberState state) { return a.sees("c", state) && b.sees("c", state); };
    BOOST_TEST(qz::runUntil(loop, [&] { return see(MemberState::Live); }));
    list.isUnavailable_ = true;
    c->driver_->startLeaving();
    BOOST_TEST(qz::runUntil(loop, [&] { return see(MemberState::Leaving); }));
    c->driver_->stop();
    BOOST_TEST(qz::runUntil(loop, [&] { return a.goneCount_ == 1 && b.goneCount_ == 1; }));
    BOOST_TEST(a.membership_->members().size() == 2U);
    BOOST_TEST(a.membership_->dumpState(loop.now())["cut_off"] == false);
}

BOOST_AUTO_TEST_CASE(aKilledInstanceIsDetectedAndLiveOnesRemain)
{
    qz::EventLoop loop;
    FakeInstanceList list;
    DrivenNode a(loop, list, "a");
    DrivenNode b(loop, list, "b");
    auto c = std::make_unique<DrivenNode>(loop, list, "c");
    for (DrivenNode *node : { &a, &b, c.get() }) {
        node->driver_->start();
    }
    BOOST_TEST(qz::runUntil(loop, [&] { return a.sees("c", MemberState::Live); }));
    c.reset();
    BOOST_TEST(qz::runUntil(loop, [&] { return a.goneCount_ == 1 && b.goneCount_ == 1; }));
    BOOST_TEST(a.sees("b", MemberState::Live));
    BOOST_TEST(b.sees("a", MemberState::Live));
}
