// Times of crashes as ages, and back.
#include "quetzaldaled/serve/crashreports.h"

#include <algorithm>

namespace qz {

namespace {

TimePoint timeOf(Duration age, TimePoint now)
{
    // Far beyond the time for which crashes are remembered; a longer age could overflow.
    constexpr Duration longest = std::chrono::hours(24);
    return now - std::clamp(age, Duration::zero(), longest);
}

} // namespace

CrashReportMessage makeCrashReport(const std::vector<CrashHistory> &histories, TimePoint now)
{
    CrashReportMessage report;
    for (const CrashHistory &history : histories) {
        CrashHistoryMessage message;
        message.requestHigh_ = history.request_.high_;
        message.requestLow_ = history.request_.low_;
        message.longRequestHead_ = history.longRequestHead_;
        for (const ServerCrash &crash : history.crashes_) {
            message.crashes_.push_back({ crash.server_, crash.incarnation_, now - crash.sentAt_,
                                         now - crash.endedAt_ });
        }
        message.isAnswered_ = history.answeredAt_.has_value();
        message.sinceAnswer_ = now - history.answeredAt_.value_or(now);
        report.histories_.push_back(std::move(message));
    }
    return report;
}

std::vector<CrashHistory> readCrashReport(const CrashReportMessage &report, TimePoint now)
{
    std::vector<CrashHistory> histories;
    for (const CrashHistoryMessage &message : report.histories_) {
        CrashHistory history;
        history.request_ = { message.requestHigh_, message.requestLow_ };
        history.longRequestHead_ = message.longRequestHead_;
        for (const CrashMessage &crash : message.crashes_) {
            const TimePoint endedAt = timeOf(crash.sinceEnd_, now);
            history.crashes_.push_back({ crash.server_, crash.incarnation_,
                                         std::min(timeOf(crash.sinceSent_, now), endedAt),
                                         endedAt });
        }
        if (message.isAnswered_) {
            history.answeredAt_ = timeOf(message.sinceAnswer_, now);
        }
        histories.push_back(std::move(history));
    }
    return histories;
}

} // namespace qz
