// Many memberships in one test: a clock that the test advances and a network with delays,
// losses and cuts.
#pragma once

#include "qz_core/time/manualclock.h"
#include "qz_fleet/links/framedecoder.h"
#include "qz_fleet/membership/membership.h"
#include "qz_fleet/messages/packing.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace qz {

/// Runs a fleet of memberships. Everything follows from the seed.
class MembershipSimulation
{
public:
    using LinkBlocker = std::function<bool(std::size_t from, std::size_t to)>;

    struct Node
    {
        InstanceId id_;
        std::mt19937_64 random_;
        std::unique_ptr<Membership> membership_; ///< Null while killed.
        bool isPaused_ = false;
        std::vector<MemberChange> changes_;
        std::uint64_t messagesSent_ = 0;
        std::uint64_t bytesSent_ = 0;
    };

    MembershipSimulation(std::size_t count, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addNode();
        }
        for (std::size_t i = 0; i < count; ++i) {
            start(i, "first");
            deliverListing(i, listing());
        }
    }

    std::size_t addNode()
    {
        const std::size_t index = nodes_.size();
        auto node = std::make_unique<Node>();
        node->id_ = InstanceId("instance-" + std::to_string(index));
        node->random_.seed(random_());
        indexes_[node->id_] = index;
        nodes_.push_back(std::move(node));
        return index;
    }

    void start(std::size_t index, const std::string &process)
    {
        Node &target = node(index);
        const ListedInstance listed = listedInstance(index);
        Member self;
        self.id_ = target.id_;
        self.incarnation_ = process + "-" + target.id_.value();
        self.peerEndpoint_ = listed.peerEndpoint_;
        self.callerEndpoint_ = listed.callerEndpoint_;
        self.location_ = listed.location_;
        target.membership_ = Membership::Builder()
                                     .setSelf(self)
                                     .setRandom(target.random_)
                                     .setStart(clock_.now())
                                     .build();
    }

    /// What a node sends, on average, in a second.
    struct Cost
    {
        double messages_ = 0;
        double bytes_ = 0;
    };

    Cost measure(Duration time)
    {
        const auto [messagesBefore, bytesBefore] = sentByAll();
        run(time);
        const auto [messages, bytes] = sentByAll();
        const double nodeSeconds =
                std::chrono::duration<double>(time).count() * static_cast<double>(nodes_.size());
        return Cost{ static_cast<double>(messages - messagesBefore) / nodeSeconds,
                     static_cast<double>(bytes - bytesBefore) / nodeSeconds };
    }

    /// Lets each node know every other one's own word, as after a long time together.
    void exchangeSelfUpdates()
    {
        GossipMessage message;
        message.setKind(GossipKind::Ack);
        for (std::size_t from = 0; from < nodes_.size(); ++from) {
            message.sender_ = words_.at(node(from).id_);
            for (std::size_t to = 0; to < nodes_.size(); ++to) {
                node(to).membership_->receive(node(from).id_, message, now());
            }
        }
    }

    void kill(std::size_t index) { node(index).membership_.reset(); }

    void deliverListing(std::size_t index, const InstanceListing &listing)
    {
        node(index).membership_->applyListing(listing, now());
        collect(index);
    }

    void send(std::size_t from, const Membership::Outgoing &outgoing)
    {
        for (const OutgoingGossip &gossip : outgoing) {
            sendOne(from, gossip);
        }
    }

    /// Lets time pass in steps of 10 ms; each node ticks every 100 ms.
    void run(
            Duration time, const std::function<bool()> &isDone = [] { return false; })
    {
        const TimePoint end = now() + time;
        while (now() < end && !isDone()) {
            clock_.advance(step);
            ++steps_;
            deliverDue();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (isRunning(i) && (steps_ + i) % stepsPerTick == 0) {
                    send(i, node(i).membership_->tick(now()));
                    collect(i);
                }
            }
        }
    }

    /// All nodes up to @p count as listed live.
    InstanceListing listing() const
    {
        InstanceListing listing;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            listing.instances_.push_back(listedInstance(i));
        }
        return listing;
    }

    /// How many running nodes other than @p about have it in the state that @p holds asks for.
    template<typename Predicate>
    std::size_t countMatching(std::size_t about, Predicate holds) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (i != about && isRunning(i) && holds(view(i, about))) {
                ++count;
            }
        }
        return count;
    }

    /// @p about as node @p index sees it; null if gone.
    const Member *view(std::size_t index, std::size_t about) const
    {
        const auto &members = nodes_[index]->membership_->members();
        const auto found = std::lower_bound(
                members.begin(), members.end(), nodes_[about]->id_,
                [](const Member &member, const InstanceId &id) { return member.id_ < id; });
        return found != members.end() && found->id_ == nodes_[about]->id_ ? &*found : nullptr;
    }

    std::size_t countChanges(MemberChangeKind kind) const
    {
        std::size_t count = 0;
        for (const auto &node : nodes_) {
            count += static_cast<std::size_t>(std::count_if(
                    node->changes_.begin(), node->changes_.end(),
                    [kind](const MemberChange &change) { return change.kind_ == kind; }));
        }
        return count;
    }

    void clearChanges()
    {
        for (const auto &node : nodes_) {
            node->changes_.clear();
        }
    }

    Node &node(std::size_t index) { return *nodes_.at(index); }
    std::size_t size() const { return nodes_.size(); }
    TimePoint now() const { return clock_.now(); }
    void setLossRate(double loss) { loss_ = loss; }
    void setLinkBlocker(LinkBlocker cut) { cut_ = std::move(cut); }

private:
    static constexpr Duration step = std::chrono::milliseconds(10);
    static constexpr std::size_t stepsPerTick = 10;

    struct Packet
    {
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        GossipMessage message_;
    };

    bool isRunning(std::size_t index) const
    {
        return nodes_[index]->membership_ != nullptr && !nodes_[index]->isPaused_;
    }

    static ListedInstance listedInstance(std::size_t index)
    {
        const std::vector<std::string> regions{ "alex", "cairo" };
        const std::string &region = regions[index % 2];
        ListedInstance listed;
        listed.id_ = InstanceId("instance-" + std::to_string(index));
        listed.location_ = Location{ RegionId(region),
                                     FailureDomainId(region + (index % 4 < 2 ? "-a" : "-b")) };
        listed.peerEndpoint_ = Endpoint{ "10.0.0.1", static_cast<std::uint16_t>(7000 + index) };
        listed.callerEndpoint_ = Endpoint{ "10.0.0.1", static_cast<std::uint16_t>(9000 + index) };
        return listed;
    }

    std::pair<std::uint64_t, std::uint64_t> sentByAll() const
    {
        std::pair<std::uint64_t, std::uint64_t> sum;
        for (const auto &node : nodes_) {
            sum.first += node->messagesSent_;
            sum.second += node->bytesSent_;
        }
        return sum;
    }

    void sendOne(std::size_t from, const OutgoingGossip &gossip)
    {
        words_[node(from).id_] = gossip.message_.sender_;
        const std::string payload = packMessage(gossip.message_);
        ++node(from).messagesSent_;
        node(from).bytesSent_ += encodeFrame(MessageKind::MembershipGossip, payload).size();
        const auto to = indexes_.find(gossip.to_);
        const bool isLost = std::bernoulli_distribution(loss_)(random_);
        if (to == indexes_.end() || isLost || (cut_ && cut_(from, to->second))) {
            return;
        }
        std::uniform_int_distribution<int> delay(1, 15);
        const TimePoint arrival = now() + std::chrono::milliseconds(delay(random_));
        packets_.emplace(arrival, Packet{ from, to->second, gossip.message_ });
    }

    void deliverDue()
    {
        while (!packets_.empty() && packets_.begin()->first <= now()) {
            const Packet packet = std::move(packets_.begin()->second);
            packets_.erase(packets_.begin());
            if (isRunning(packet.to_)) {
                Membership &target = *node(packet.to_).membership_;
                send(packet.to_, target.receive(node(packet.from_).id_, packet.message_, now()));
                collect(packet.to_);
            }
        }
    }

    void collect(std::size_t index)
    {
        for (MemberChange &change : node(index).membership_->takeChanges()) {
            node(index).changes_.push_back(std::move(change));
        }
    }

    ManualClock clock_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<InstanceId, std::size_t> indexes_;
    std::map<InstanceId, MemberUpdate> words_; ///< What each node last said of itself.
    std::multimap<TimePoint, Packet> packets_;
    double loss_ = 0;
    LinkBlocker cut_;
    std::size_t steps_ = 0;
};

} // namespace qz
