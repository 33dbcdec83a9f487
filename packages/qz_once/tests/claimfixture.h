// What the tests of claims share: a faulty table, a clock that stands still, and clients.
#pragma once

#include "qz_core/time/manualtimers.h"
#include "qz_once/claims/claimclient.h"
#include "qz_platform/tests/faketable.h"

#include <optional>

namespace qz {

/// One faulty table and the time of all processes.
struct ClaimFixture
{
    ManualClock clock_;
    ManualTimers timers_{ clock_ };
    FakeTable table_;
    const WorkspaceId workspace_{ "nakhla" };
    const IdempotencyKey key_{ "order-1" };
    const Duration keep_ = std::chrono::hours(24);

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

    /// Lets time pass and answers arrive until nothing more comes of it.
    void settle(Duration time = std::chrono::milliseconds(500))
    {
        const Duration step = std::chrono::milliseconds(1);
        for (Duration passed{}; passed < time; passed += step) {
            timers_.advance(step);
            table_.deliver();
        }
    }

    using Answer = std::optional<Result<ClaimGrant>>;

    /// Starts a claim whose end is put into @p answer.
    void claim(ClaimClient &client, Answer &answer)
    {
        client.claim(workspace_, key_, keep_, [&answer](const auto &result) { answer = result; });
    }

    /// Claims and waits for the end.
    Result<ClaimGrant> claimNow(ClaimClient &client)
    {
        Answer answer;
        claim(client, answer);
        settle();
        return answer.value();
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
