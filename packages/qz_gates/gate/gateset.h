// The gates of one instance.
#pragma once

#include "qz_gates/gate/gate.h"

#include <map>
#include <memory>

namespace qz {

/// Keeps a gate for each backend server for which this instance received requests. Creates a gate
/// on the first request and closes it once the server is leaving. The senders of requests decide
/// which instance is the gate of a server.
/// @see GateMap
class GateSet
{
public:
    GateSet(EventLoop &loop, const BackendDirectory &directory);
    GateSet(const GateSet &) = delete;
    GateSet &operator=(const GateSet &) = delete;

    /// Passes a request to the gate of its server. Calls @p done exactly once, possibly before this
    /// function returns.
    /// Errors: Draining if this instance is leaving, NotTheGate if the server is unknown, and those
    /// of the gate.
    void execute(ExecuteRequest request, Gate::Done done);
    void cancel(const CancelRequest &request);

    /// Calls tick() of all gates and closes those whose server announced a drain.
    void tick();

    /// Applies the ranks of newly adopted rules to all gates.
    void setRanks(const std::vector<Rank> &ranks);

    /// Applies a change of the directory: updates slots, closes the gates of servers that are
    /// leaving or not listed any more, and removes gates that are no longer needed.
    void applyDirectory();

    /// Closes all gates because this instance is leaving.
    void close();

    /// Returns the number of queued and running requests in all gates.
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
