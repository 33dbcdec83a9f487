// A small fleet of RulesService instances on fakes, for tests of the spread of rules.
#pragma once

#include "qz_core/time/manualtimers.h"
#include "qz_platform/tests/fakeobjectstore.h"
#include "qz_platform/tests/faketable.h"
#include "qz_rules/spread/rulesservice.h"
#include "qz_rules/tests/documents.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace qz {

/// One instance's way to the shared table, which can be cut.
class CuttableTable : public Table
{
public:
    explicit CuttableTable(FakeTable &shared)
        : shared_(shared)
    {
    }

    bool losesCalls_ = false;
    bool losesAnswers_ = false;
    std::size_t reads_ = 0;

    void read(const std::string &key, ReadDone done) override
    {
        ++reads_;
        if (losesCalls_) {
            lost_.push_back([done] { done(failure(ErrorKind::StoreTimeout, "cut")); });
            return;
        }
        shared_.read(key, [this, done = std::move(done)](auto row) {
            done(losesAnswers_ ? failure(ErrorKind::StoreTimeout, "cut") : std::move(row));
        });
    }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        if (losesCalls_) {
            lost_.push_back([done] { done(failure(ErrorKind::StoreTimeout, "cut")); });
            return;
        }
        shared_.commit(std::move(writes), [this, done = std::move(done)](auto decision) {
            done(losesAnswers_ ? failure(ErrorKind::StoreTimeout, "cut") : std::move(decision));
        });
    }

    void deliver()
    {
        for (const auto &end : std::exchange(lost_, {})) {
            end();
        }
    }

private:
    FakeTable &shared_;
    std::vector<std::function<void()>> lost_;
};

using PublishOutcome = std::optional<Result<RulesRevision>>;

/// Instances numbered from 0, in lock step. Messages take one step.
class RuleHarness
{
public:
    static constexpr Duration stepTime = std::chrono::milliseconds(50);
    static constexpr Duration limit = std::chrono::seconds(5); ///< The in-force limit.

    struct Node
    {
        explicit Node(FakeTable &table)
            : table_(table)
        {
        }
        VoterId id_;
        CuttableTable table_;
        std::unique_ptr<RulesService> service_;
        RulesVersion highestSeen_ = 0;
    };

    explicit RuleHarness(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addNode();
        }
    }

    std::size_t addNode()
    {
        nodes_.push_back(std::make_unique<Node>(table_));
        start(nodes_.size() - 1);
        return nodes_.size() - 1;
    }

    /// Replaces an instance by a new life of it, which knows nothing.
    void restart(std::size_t index)
    {
        nodes_[index]->service_.reset();
        nodes_[index]->highestSeen_ = 0;
        start(index);
    }

    void stop(std::size_t index)
    {
        nodes_[index]->service_.reset();
        nodes_[index]->id_ = VoterId();
        announceMembers();
    }

    Node &node(std::size_t index) { return *nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    TimePoint now() const { return clock_.now(); }

    /// Cuts messages from one instance to another, one way.
    void cut(std::size_t from, std::size_t to) { cuts_.emplace(from, to); }
    void heal() { cuts_.clear(); }

    /// Cuts the first @p count instances off from the others, both ways.
    void split(std::size_t count)
    {
        for (std::size_t a = 0; a < count; ++a) {
            for (std::size_t b = count; b < nodes_.size(); ++b) {
                cut(a, b);
                cut(b, a);
            }
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = now() + time; now() < end;) {
            step();
        }
    }

    void step()
    {
        for (const auto &message : std::exchange(messages_, {})) {
            message();
        }
        table_.deliver();
        objects_.deliver();
        for (auto &node : nodes_) {
            node->table_.deliver();
        }
        timers_.advance(stepTime);

        if (++steps_ % listSteps == 0) {
            announceMembers();
        }
        for (auto &node : nodes_) {
            check(*node);
        }
    }

    void publish(std::size_t index, RulesVersion expected, PublishOutcome &outcome)
    {
        auto document = exampleDocument();
        document["workspaces"][0]["weight"] = ++documents_;
        PublishOrder order{ expected, document.dump(), "ana",
                            "token" + std::to_string(documents_) };
        node(index).service_->publish(std::move(order), [this, &outcome](auto result) {
            if (result && accepted_ < result.value().head_.stamp_.version_) {
                accepted_ = result.value().head_.stamp_.version_;
                acceptedAt_ = now();
            }
            outcome = std::move(result);
        });
    }

    /// Publishes and waits for the outcome.
    Result<RulesRevision> publishNow(std::size_t index, RulesVersion expected)
    {
        outcomes_.emplace_back();
        PublishOutcome &outcome = outcomes_.back();
        publish(index, expected, outcome);
        for (int i = 0; i < 2000 && !outcome; ++i) {
            step();
        }
        BOOST_REQUIRE(outcome.has_value());
        return *outcome;
    }

    /// The version in force on an instance; 0 if it refuses new work.
    RulesVersion inForce(std::size_t index) const
    {
        const auto revision = nodes_[index]->service_->inForce();
        return revision ? revision.value()->head_.stamp_.version_ : 0;
    }

    /// How many instances work by @p version.
    std::size_t countInForce(RulesVersion version) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += nodes_[i]->service_ != nullptr && inForce(i) == version ? 1 : 0;
        }
        return count;
    }

    /// Tells each instance who is alive, in its own view, and who is listed.
    void announceMembers()
    {
        std::set<InstanceId> listed;
        for (const auto &node : nodes_) {
            if (node->service_ != nullptr) {
                listed.insert(instanceOf(node->id_));
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i]->service_ != nullptr) {
                nodes_[i]->service_->setMembers(membersSeenBy(i));
                if (!isPlatformAway_) {
                    nodes_[i]->service_->setListed(listed);
                }
            }
        }
    }

    /// Whether an instance takes those for dead that it has no link to.
    bool seesCuts_ = true;
    FakeTable table_;
    FakeObjectStore objects_;
    bool takesHints_ = true;    ///< Digests ride on each message.
    std::size_t falls_ = 0;     ///< Adopted versions that fell.
    std::size_t outdated_ = 0;  ///< Steps with outdated rules in force.
    RulesVersion accepted_ = 0; ///< The highest version that an operator was told is accepted.
    std::size_t messageCount_ = 0;

    /// Takes the table, the object store and the list away, or brings them back.
    void setOutage(bool isDown)
    {
        isPlatformAway_ = isDown;
        table_.setFault(isDown ? FakeTable::Fault::Down : FakeTable::Fault::None);
        objects_.setFault(isDown ? FakeObjectStore::Fault::Down : FakeObjectStore::Fault::None);
    }

private:
    static constexpr std::uint64_t listSteps = 40; ///< Between readings of the platform's list.

    void start(std::size_t index)
    {
        Node &node = *nodes_[index];
        node.id_ = makeVoterId(InstanceId("i" + std::to_string(index)), std::to_string(++lives_));
        RulesCallbacks callbacks;
        callbacks.sendRequest_ = [this, index](const VoterId &to, const RulesRequest &request) {
            send(index, to, [this, index, to, request](Node &node) {
                hint(node, index);
                node.service_->takeRequest(nodes_[index]->id_, request);
            });
        };
        callbacks.sendAnswer_ = [this, index](const VoterId &to, const RulesAnswer &answer) {
            send(index, to, [this, index, to, answer](Node &node) {
                node.service_->takeAnswer(nodes_[index]->id_, answer);
            });
        };
        callbacks.adopted_ = [](const RulesRevision &) {};
        node.service_ = RulesService::Builder()
                                .setSelf(node.id_)
                                .setTable(node.table_)
                                .setObjects(objects_)
                                .setClock(clock_)
                                .setTimers(timers_)
                                .setSeed(lives_)
                                .setCallbacks(callbacks)
                                .build();
        announceMembers();
    }

    std::vector<VoterId> membersSeenBy(std::size_t index) const
    {
        std::vector<VoterId> members;
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            const bool isCut =
                    cuts_.count({ index, other }) > 0 || cuts_.count({ other, index }) > 0;
            if (nodes_[other]->service_ != nullptr && !(isCut && seesCuts_)) {
                members.push_back(nodes_[other]->id_);
            }
        }
        return members;
    }

    void hint(Node &node, std::size_t from)
    {
        if (takesHints_) {
            node.service_->takeDigest(nodes_[from]->id_, nodes_[from]->service_->digest());
        }
    }

    template<typename Receive>
    void send(std::size_t from, const VoterId &to, Receive receive)
    {
        ++messageCount_;
        const std::size_t index = indexOf(to);
        if (index == nodes_.size() || cuts_.count({ from, index }) > 0) {
            return;
        }
        messages_.push_back([this, from, index, to, receive] {
            Node &node = *nodes_[index];
            if (node.id_ == to && nodes_[from]->service_ != nullptr) {
                receive(node);
            }
        });
    }

    std::size_t indexOf(const VoterId &id) const
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i]->id_ == id) {
                return i;
            }
        }
        return nodes_.size();
    }

    void check(Node &node)
    {
        if (node.service_ == nullptr) {
            return;
        }
        const RulesVersion version = node.service_->digest().adopted_.version_;
        falls_ += version < node.highestSeen_ ? 1 : 0;
        node.highestSeen_ = std::max(node.highestSeen_, version);
        const bool isOutdated =
                node.service_->inForce() && version < accepted_ && now() - acceptedAt_ > limit;
        outdated_ += isOutdated ? 1 : 0;
    }

    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    std::vector<std::unique_ptr<Node>> nodes_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::deque<std::function<void()>> messages_;
    std::deque<PublishOutcome> outcomes_;
    std::uint64_t lives_ = 0;
    int documents_ = 0;
    std::uint64_t steps_ = 0;
    bool isPlatformAway_ = false;
    TimePoint acceptedAt_;
};

} // namespace qz
