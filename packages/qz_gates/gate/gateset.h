// The gates of one instance.
#pragma once

#include "qz_gates/gate/gate.h"

#include <map>
#include <memory>

namespace qz {

/// Keeps a gate for each backend server whose work came to this instance, opens it on the
/// first request and closes it once the server is leaving. Which instance is a server's gate
/// is decided by those who send.
/// @see GateMap
class GateSet
{
public:
    GateSet(EventLoop &loop, const BackendDirectory &directory);
    GateSet(const GateSet &) = delete;
    GateSet &operator=(const GateSet &) = delete;

    void execute(ExecuteRequest request, Gate::Done done);
    void cancel(const CancelRequest &request);
    void tick();

    /// Takes the ranks of newly adopted rules, for all gates.
    void setRanks(const std::vector<Rank> &ranks);

    /// Applies a change of the directory: new slots, leaving servers.
    void applyDirectory();

    /// This instance is leaving: no gate takes work any more.
    void close();

    /// Requests queued or running.
    std::size_t requestCount() const;

    const std::map<BackendServerId, std::unique_ptr<Gate>> &gates() const { return gates_; }
    nlohmann::json dumpState() const;

private:
    Gate *open(const BackendServerId &server);

    EventLoop &loop_;
    const BackendDirectory &directory_;
    std::vector<RankShare> ranks_{ RankShare{} };
    std::map<BackendServerId, std::unique_ptr<Gate>> gates_;
    bool isClosed_ = false;
};

} // namespace qz
