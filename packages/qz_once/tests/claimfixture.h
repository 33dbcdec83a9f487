// Fixture for the tests of claims: a table with injected faults, a manual clock, and clients.
#pragma once

#include "qz_core/time/manualtimers.h"
#include "qz_once/claims/claimclient.h"
#include "qz_platform/tests/faketable.h"

#include <optional>

namespace qz {

/// A table with injected faults, and a clock that all clients share.
struct ClaimFixture
{
    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    FakeTable table_;
    const WorkspaceId workspace_{ "nakhla" };
    const IdempotencyKey key_{ "order-1" };
    const Duration retention_ = std::chrono::hours(24);

    std::unique_ptr<ClaimClient> makeClient(const std::string &name, Table &table)
    {
        return ClaimClient::Builder()
                .setTable(table)
                .setTimers(timers_)
                .setClock(clock_)
                .setSelf(InstanceId(name))
                .setIncarnation(name + "-1")
                .build();
    }

    std::unique_ptr<ClaimClient> makeClient(const std::string &name)
    {
        return makeClient(name, table_);
    }

    /// Advances the clock by @p time in steps of 1 ms and delivers the table's responses.
    void runFor(Duration time = std::chrono::milliseconds(500))
    {
        const Duration step = std::chrono::milliseconds(1);
        for (Duration passed{}; passed < time; passed += step) {
            timers_.advance(step);
            table_.deliver();
        }
    }

    /// The result of a claim; empty until the claim has ended.
    using PendingClaim = std::optional<Result<ClaimGrant>>;

    /// Starts a claim; @p pending receives its result.
    void claim(ClaimClient &client, PendingClaim &pending)
    {
        client.claim(workspace_, key_, retention_,
                     [&pending](const auto &result) { pending = result; });
    }

    /// Claims the key and returns the result.
    Result<ClaimGrant> claimAndWait(ClaimClient &client)
    {
        PendingClaim pending;
        claim(client, pending);
        runFor();
        return pending.value();
    }

    std::optional<ClaimRow> row() const
    {
        const auto found = table_.peek(claimRowKey(workspace_, key_));
        return found ? std::optional<ClaimRow>(parseClaimRow(found->value_).value()) : std::nullopt;
    }
};

inline bool failsWith(const Result<ClaimGrant> &result, ErrorKind kind)
{
    return !result.has_value() && result.error().kind_ == kind;
}

} // namespace qz
