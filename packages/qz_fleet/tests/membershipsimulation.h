// Simulates many memberships with a manual clock and a network that delays, loses and blocks
// messages.
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

/// Runs a simulated fleet of memberships. The seed determines its whole behaviour.
class MembershipSimulation
{
public:
    /// Returns true if messages from one node to the other are dropped.
    using LinkBlocker = std::function<bool(std::size_t from, std::size_t to)>;

    struct Node
    {
        InstanceId id_;
        std::mt19937_64 random_;
        std::unique_ptr<Membership> membership_; ///< Null after killNode().
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
            startNode(i, "first");
            deliverListing(i, listing());
        }
    }

    std::size_t addNode()
    {
        const std::size_t index = nodes_.size();
        auto node = std::make_unique<Node>();
        node->id_ = InstanceId("instance-" + std::to_string(index));
        node->random_.seed(random_());
        nodeIndexes_[node->id_] = index;
        nodes_.push_back(std::move(node));
        return index;
    }

    void startNode(std::size_t index, const std::string &process)
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

    /// The average traffic that a node sends per second.
    struct Cost
    {
        double messages_ = 0;
        double bytes_ = 0;
    };

    Cost measureCost(Duration time)
    {
        const auto [messagesBefore, bytesBefore] = totalSent();
        run(time);
        const auto [messages, bytes] = totalSent();
        const double nodeSeconds =
                std::chrono::duration<double>(time).count() * static_cast<double>(nodes_.size());
        return Cost{ static_cast<double>(messages - messagesBefore) / nodeSeconds,
                     static_cast<double>(bytes - bytesBefore) / nodeSeconds };
    }

    /// Delivers the last state that each node reported to all nodes, as after a long run.
    void exchangeSelfUpdates()
    {
        GossipMessage message;
        message.setKind(GossipKind::Ack);
        for (std::size_t from = 0; from < nodes_.size(); ++from) {
            message.sender_ = lastSelfUpdates_.at(node(from).id_);
            for (std::size_t to = 0; to < nodes_.size(); ++to) {
                node(to).membership_->receive(node(from).id_, message, now());
            }
        }
    }

    void killNode(std::size_t index) { node(index).membership_.reset(); }

    void deliverListing(std::size_t index, const InstanceListing &listing)
    {
        node(index).membership_->applyListing(listing, now());
        collectChanges(index);
    }

    void send(std::size_t from, const Membership::Outgoing &outgoing)
    {
        for (const OutgoingGossip &gossip : outgoing) {
            sendMessage(from, gossip);
        }
    }

    /// Advances the clock in steps of 10 ms, until @p time has passed or @p isDone returns true.
    /// Each node ticks every 100 ms.
    void run(
            Duration time, const std::function<bool()> &isDone = [] { return false; })
    {
        const TimePoint end = now() + time;
        while (now() < end && !isDone()) {
            clock_.advance(step);
            ++steps_;
            deliverDuePackets();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (isRunning(i) && (steps_ + i) % stepsPerTick == 0) {
                    send(i, node(i).membership_->tick(now()));
                    collectChanges(i);
                }
            }
        }
    }

    /// Returns a listing of all nodes as live.
    InstanceListing listing() const
    {
        InstanceListing listing;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            listing.instances_.push_back(listedInstance(i));
        }
        return listing;
    }

    /// Returns how many running nodes other than @p subject see it in a state that matches
    /// @p predicate.
    template<typename Predicate>
    std::size_t countMatching(std::size_t subject, Predicate predicate) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (i != subject && isRunning(i) && predicate(memberSeenBy(i, subject))) {
                ++count;
            }
        }
        return count;
    }

    /// Returns @p subject as node @p index sees it; null if gone.
    const Member *memberSeenBy(std::size_t index, std::size_t subject) const
    {
        const auto &members = nodes_[index]->membership_->members();
        const auto found = std::lower_bound(
                members.begin(), members.end(), nodes_[subject]->id_,
                [](const Member &member, const InstanceId &id) { return member.id_ < id; });
        return found != members.end() && found->id_ == nodes_[subject]->id_ ? &*found : nullptr;
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
    void setLossRate(double rate) { lossRate_ = rate; }
    void setLinkBlocker(LinkBlocker blocker) { linkBlocker_ = std::move(blocker); }

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

    std::pair<std::uint64_t, std::uint64_t> totalSent() const
    {
        std::pair<std::uint64_t, std::uint64_t> sum;
        for (const auto &node : nodes_) {
            sum.first += node->messagesSent_;
            sum.second += node->bytesSent_;
        }
        return sum;
    }

    void sendMessage(std::size_t from, const OutgoingGossip &gossip)
    {
        lastSelfUpdates_[node(from).id_] = gossip.message_.sender_;
        const std::string payload = packMessage(gossip.message_);
        ++node(from).messagesSent_;
        node(from).bytesSent_ += encodeFrame(MessageKind::MembershipGossip, payload).size();
        const auto to = nodeIndexes_.find(gossip.to_);
        const bool isLost = std::bernoulli_distribution(lossRate_)(random_);
        if (to == nodeIndexes_.end() || isLost
            || (linkBlocker_ && linkBlocker_(from, to->second))) {
            return;
        }
        std::uniform_int_distribution<int> delay(1, 15);
        const TimePoint arrival = now() + std::chrono::milliseconds(delay(random_));
        packets_.emplace(arrival, Packet{ from, to->second, gossip.message_ });
    }

    void deliverDuePackets()
    {
        while (!packets_.empty() && packets_.begin()->first <= now()) {
            const Packet packet = std::move(packets_.begin()->second);
            packets_.erase(packets_.begin());
            if (isRunning(packet.to_)) {
                Membership &target = *node(packet.to_).membership_;
                send(packet.to_, target.receive(node(packet.from_).id_, packet.message_, now()));
                collectChanges(packet.to_);
            }
        }
    }

    void collectChanges(std::size_t index)
    {
        for (MemberChange &change : node(index).membership_->takeChanges()) {
            node(index).changes_.push_back(std::move(change));
        }
    }

    ManualClock clock_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::map<InstanceId, std::size_t> nodeIndexes_;
    std::map<InstanceId, MemberUpdate>
            lastSelfUpdates_; ///< The last state that each node reported.
    std::multimap<TimePoint, Packet> packets_;
    double lossRate_ = 0;
    LinkBlocker linkBlocker_;
    std::size_t steps_ = 0;
};

} // namespace qz
