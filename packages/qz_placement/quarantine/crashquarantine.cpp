// Counts crashes of requests and schedules trials.
#include "qz_placement/quarantine/crashquarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace qz {

CrashQuarantine::CrashQuarantine(QuarantineLimits limits)
    : limits_(limits)
{
}

TimePoint CrashQuarantine::Record::lastEvent() const
{
    const TimePoint crash =
            history_.crashes_.empty() ? TimePoint{} : history_.crashes_.back().endedAt_;
    return std::max(crash, history_.answeredAt_.value_or(crash));
}

int CrashQuarantine::countCrashes(const std::vector<ServerCrash> &crashes) const
{
    int count = 0;
    TimePoint lastCounted{};
    for (const ServerCrash &crash : crashes) {
        const bool isApart = crash.sentAt_ >= lastCounted
                && crash.endedAt_ - lastCounted >= limits_.minCrashInterval_;
        if (count == 0 || isApart) {
            ++count;
            lastCounted = crash.endedAt_;
        }
    }
    return count;
}

Duration CrashQuarantine::trialDelay(int count) const
{
    Duration delay = limits_.firstTrialDelay_;
    for (int i = limits_.crashes_; i < count && delay < limits_.maxTrialDelay_; ++i) {
        delay *= limits_.trialDelayGrowth_;
    }
    return std::min(delay, limits_.maxTrialDelay_);
}

std::optional<CrashQuarantine::Hold> CrashQuarantine::find(const RequestFingerprint &request,
                                                           TimePoint now) const
{
    const auto found = records_.find(request);
    if (found == records_.end() || found->second.count_ < limits_.crashes_) {
        return std::nullopt;
    }
    const Record &record = found->second;
    const TimePoint dueAt = std::max(record.history_.crashes_.back().endedAt_, record.trialAt_)
            + trialDelay(record.count_);
    if (now < dueAt) {
        return Hold{ dueAt - now, 0 };
    }
    return Hold{ Duration::zero(), static_cast<std::size_t>((now - dueAt) / limits_.trialTurn_) };
}

void CrashQuarantine::recordTrial(const RequestFingerprint &request, TimePoint now)
{
    const auto found = records_.find(request);
    if (found != records_.end()) {
        found->second.trialAt_ = now;
    }
}

int CrashQuarantine::crashCount(const RequestFingerprint &request,
                                const std::vector<ServerCrash> &suspected) const
{
    const auto found = records_.find(request);
    auto crashes =
            found == records_.end() ? std::vector<ServerCrash>() : found->second.history_.crashes_;
    for (const ServerCrash &crash : suspected) {
        addCrash(crashes, crash);
    }
    return countCrashes(crashes);
}

bool CrashQuarantine::hasLongRequest(std::uint64_t head) const
{
    return suspects_ > 0
            && std::any_of(records_.begin(), records_.end(), [head](const auto &entry) {
                   return entry.second.count_ > 0 && entry.second.history_.longRequestHead_ == head;
               });
}

std::size_t CrashQuarantine::heldCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(records_.begin(), records_.end(), [this, now](const auto &entry) {
                return find(entry.first, now).has_value();
            }));
}

bool CrashQuarantine::merge(const CrashHistory &history, TimePoint now)
{
    forgetOld(now);
    auto found = records_.find(history.request_);
    if (found == records_.end()) {
        if (history.crashes_.empty()) {
            return false;
        }
        if (records_.size() >= limits_.maxRequests_) {
            evictOne();
        }
        found = records_.try_emplace(history.request_).first;
        found->second.history_.request_ = history.request_;
    }
    Record &record = found->second;
    CrashHistory &known = record.history_;
    known.longRequestHead_ = std::max(known.longRequestHead_, history.longRequestHead_);
    const auto before = known.crashes_;
    if (history.answeredAt_) {
        known.answeredAt_ =
                std::max(known.answeredAt_.value_or(*history.answeredAt_), *history.answeredAt_);
    }
    for (const ServerCrash &crash : history.crashes_) {
        addCrash(known.crashes_, crash);
    }
    if (known.crashes_.size() > limits_.maxCrashes_) {
        known.crashes_.erase(known.crashes_.begin(),
                             known.crashes_.end()
                                     - static_cast<std::ptrdiff_t>(limits_.maxCrashes_));
    }
    known.crashes_.erase(std::remove_if(known.crashes_.begin(), known.crashes_.end(),
                                        [&known](const ServerCrash &crash) {
                                            return known.answeredAt_
                                                    && crash.endedAt_ <= *known.answeredAt_;
                                        }),
                         known.crashes_.end());
    record.count_ = countCrashes(known.crashes_);
    suspects_ += known.crashes_.empty() ? 0 : 1;
    suspects_ -= before.empty() ? 0 : 1;
    return !std::equal(before.begin(), before.end(), known.crashes_.begin(), known.crashes_.end(),
                       [](const ServerCrash &a, const ServerCrash &b) {
                           return a.server_ == b.server_ && a.incarnation_ == b.incarnation_;
                       });
}

void CrashQuarantine::addCrash(std::vector<ServerCrash> &crashes, const ServerCrash &crash)
{
    const bool isKnown = std::any_of(crashes.begin(), crashes.end(), [&crash](const auto &known) {
        return known.server_ == crash.server_ && known.incarnation_ == crash.incarnation_;
    });
    if (!isKnown) {
        const auto next = std::find_if(crashes.begin(), crashes.end(), [&crash](const auto &known) {
            return known.endedAt_ > crash.endedAt_;
        });
        crashes.insert(next, crash);
    }
}

void CrashQuarantine::forgetOld(TimePoint now)
{
    for (auto entry = records_.begin(); entry != records_.end();) {
        const Record &record = entry->second;
        const bool isOld = now - record.lastEvent() > limits_.memory_ + trialDelay(record.count_);
        suspects_ -= isOld && !record.history_.crashes_.empty() ? 1 : 0;
        entry = isOld ? records_.erase(entry) : std::next(entry);
    }
}

void CrashQuarantine::evictOne()
{
    const auto least =
            std::min_element(records_.begin(), records_.end(), [](const auto &a, const auto &b) {
                return std::make_tuple(a.second.count_, a.second.lastEvent())
                        < std::make_tuple(b.second.count_, b.second.lastEvent());
            });
    suspects_ -= least->second.history_.crashes_.empty() ? 0 : 1;
    records_.erase(least);
}

std::vector<CrashHistory> CrashQuarantine::latest(std::size_t limit) const
{
    std::vector<const Record *> records;
    records.reserve(records_.size());
    for (const auto &[request, record] : records_) {
        records.push_back(&record);
    }
    std::sort(records.begin(), records.end(),
              [](const Record *a, const Record *b) { return a->lastEvent() > b->lastEvent(); });
    records.resize(std::min(records.size(), limit));
    std::vector<CrashHistory> found;
    found.reserve(records.size());
    for (const Record *record : records) {
        found.push_back(record->history_);
    }
    return found;
}

} // namespace qz
