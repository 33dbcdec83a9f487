// The gates of one instance.
#include "qz_gates/gate/gateset.h"

#include <utility>

namespace qz {

GateSet::GateSet(EventLoop &loop, const BackendDirectory &directory)
    : loop_(loop)
    , directory_(directory)
{
}

void GateSet::execute(ExecuteRequest request, Gate::Done done)
{
    if (isClosed_) {
        const Error error{ ErrorKind::Draining, "the gate's instance is leaving" };
        done(makeErrorAnswer(request.requestId_, request.server_, error));
        return;
    }
    Gate *gate = open(request.server_);
    if (gate == nullptr) {
        const Error error{ ErrorKind::NotTheGate, "the gate does not know this backend server" };
        done(makeErrorAnswer(request.requestId_, request.server_, error));
        return;
    }
    gate->execute(std::move(request), std::move(done));
}

void GateSet::cancel(const CancelRequest &request)
{
    const auto gate = gates_.find(request.server_);
    if (gate != gates_.end()) {
        gate->second->cancel(request.requestId_);
    }
}

void GateSet::tick()
{
    for (const auto &[id, gate] : gates_) {
        gate->tick();
        if (gate->isDrainAnnounced() && !gate->isClosed()) {
            gate->close(ErrorKind::Draining);
        }
    }
}

void GateSet::setRanks(const std::vector<Rank> &ranks)
{
    ranks_.clear();
    for (const Rank &rank : ranks) {
        ranks_.push_back(RankShare{ rank.share_, rank.target_, rank.worth_ });
    }
    for (const auto &[id, gate] : gates_) {
        gate->setRanks(ranks_);
    }
}

void GateSet::applyDirectory()
{
    for (auto gate = gates_.begin(); gate != gates_.end();) {
        const auto server = directory_.find(gate->first);
        const bool hasMoved =
                server != nullptr && server->listed_.endpoint_ != gate->second->endpoint();
        const bool isServing = server != nullptr && !server->isLeaving() && !hasMoved;
        if (isServing) {
            gate->second->setServer(*server);
            if (!gate->second->isDrainAnnounced() && !isClosed_) {
                gate->second->reopen();
            }
        } else {
            gate->second->close(ErrorKind::Draining);
        }
        // The next request for a server that is listed at another address creates a new gate.
        const bool isDone = (server == nullptr || hasMoved) && gate->second->requestCount() == 0;
        gate = isDone ? gates_.erase(gate) : std::next(gate);
    }
}

void GateSet::close()
{
    isClosed_ = true;
    for (const auto &[id, gate] : gates_) {
        gate->close(ErrorKind::Draining);
    }
}

std::size_t GateSet::requestCount() const
{
    std::size_t count = 0;
    for (const auto &[id, gate] : gates_) {
        count += gate->requestCount();
    }
    return count;
}

nlohmann::json GateSet::dumpState() const
{
    nlohmann::json state = nlohmann::json::array();
    for (const auto &[id, gate] : gates_) {
        state.push_back(gate->dumpState());
    }
    return state;
}

Gate *GateSet::open(const BackendServerId &server)
{
    const auto found = gates_.find(server);
    if (found != gates_.end()) {
        return found->second.get();
    }
    const auto listed = directory_.find(server);
    if (listed == nullptr) {
        return nullptr;
    }
    auto &gate = gates_[server];
    gate = std::make_unique<Gate>(loop_, *listed, ranks_);
    if (listed->isLeaving()) {
        gate->close(ErrorKind::Draining);
    }
    return gate.get();
}

} // namespace qz
