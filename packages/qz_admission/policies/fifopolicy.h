// First in, first out regardless of rank. A baseline for comparison.
#pragma once

#include "qz_admission/policies/slotload.h"
#include "qz_admission/queue/admissionrequest.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace qz {

/// Serves requests in order of arrival. A full queue refuses new requests and displaces none.
/// @see AdmissionPolicy, which describes the members
class FifoPolicy
{
public:
    std::string_view name() const { return "fifo"; }
    bool limitsOverloadToTarget() const { return false; }
    void configure(int slots, const std::vector<RankShare> &ranks, TimePoint now);
    void insert(const QueuedRequest &queued, TimePoint now);
    void erase(const QueuedRequest &queued, TimePoint now);
    std::optional<std::uint64_t> next(TimePoint now);
    void start(const QueuedRequest &queued, TimePoint now);
    void finish(const QueuedRequest &queued, Duration used, TimePoint now);
    Duration wait(const QueuedRequest &queued, const SlotLoad &load) const;
    Duration waitOfRank(std::size_t rank, const SlotLoad &load) const;
    std::optional<std::uint64_t> victim(const QueuedRequest &queued, std::size_t maxQueued) const;
    std::optional<std::uint64_t> findLowerWorth(const QueuedRequest &queued) const;
    nlohmann::json dump() const;

private:
    std::map<std::uint64_t, std::uint64_t> idsBySequence_;
    Duration work_{}; ///< Sum of the expected service times of all queued requests.
};

} // namespace qz
