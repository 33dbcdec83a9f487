// Checks of servers whose connections broke.
#include "qz_forward/requests/crashdetector.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

constexpr Duration listCheckPeriod = std::chrono::milliseconds(100);
/// The platform has removed the entry of a server that has ended by this time.
constexpr Duration listLimit = std::chrono::seconds(10);
/// Suspicions at one time; later ones are dropped.
constexpr std::size_t maxSuspicions = 256;

} // namespace

CrashDetector::CrashDetector(EventLoop &loop, Duration connectLimit, ReferenceProvider references,
                             CrashHandler handler)
    : loop_(loop)
    , connectLimit_(connectLimit)
    , references_(std::move(references))
    , handler_(std::move(handler))
{
}

CrashDetector::~CrashDetector() = default;

void CrashDetector::observe(std::shared_ptr<Backend> server, CrashHistory request)
{
    const bool isKnown =
            std::any_of(suspicions_.begin(), suspicions_.end(), [&](const auto &suspicion) {
                return suspicion.server_ == server
                        && suspicion.request_.request_ == request.request_;
            });
    // The end of a server that leaves is no crash.
    const bool isLeaving = server->isListed() && !server->isOpen();
    if (isKnown || isLeaving || suspicions_.size() >= maxSuspicions) {
        return;
    }
    if (listTimer_ == nullptr) {
        listTimer_ = loop_.callEvery(listCheckPeriod, [this] { checkList(); });
    }
    const auto suspicion = suspicions_.insert(suspicions_.end(), Suspicion{});
    suspicion->server_ = std::move(server);
    suspicion->request_ = std::move(request);
    suspicion->check_ = std::make_unique<ConnectCheck>(
            loop_, suspicion->server_->listed().endpoint_, connectLimit_,
            [this, suspicion](ConnectResult result) { handleServerCheck(suspicion, result); });
}

void CrashDetector::handleServerCheck(Suspicions::iterator suspicion, ConnectResult result)
{
    suspicion->check_.reset();
    switch (result) {
    case ConnectResult::Accepted:
        suspicions_.erase(suspicion);
        break;
    case ConnectResult::Failed:
        suspicion->references_ = references_(*suspicion->server_);
        checkNextReference(suspicion);
        break;
    case ConnectResult::TimedOut:
        break; // Also if the network path is cut: only the list can tell.
    }
}

void CrashDetector::checkNextReference(Suspicions::iterator suspicion)
{
    suspicion->check_.reset();
    if (suspicion->references_.empty()) {
        return;
    }
    const auto reference = suspicion->references_.back();
    suspicion->references_.pop_back();
    suspicion->check_ =
            std::make_unique<ConnectCheck>(loop_, reference->listed().endpoint_, connectLimit_,
                                           [this, suspicion](ConnectResult result) {
                                               if (result == ConnectResult::Accepted) {
                                                   confirm(suspicion);
                                               } else {
                                                   checkNextReference(suspicion);
                                               }
                                           });
}

void CrashDetector::confirm(Suspicions::iterator suspicion)
{
    const CrashHistory request = std::move(suspicion->request_);
    suspicions_.erase(suspicion);
    handler_(request);
}

void CrashDetector::checkList()
{
    for (auto next = suspicions_.begin(); next != suspicions_.end();) {
        const auto suspicion = next++;
        if (!suspicion->server_->isListed()) {
            confirm(suspicion);
        } else if (loop_.now() - suspicion->request_.crashes_.front().endedAt_ > listLimit) {
            suspicions_.erase(suspicion);
        }
    }
    if (suspicions_.empty()) {
        listTimer_.reset();
    }
}

void CrashDetector::dismiss(const RequestFingerprint &request)
{
    suspicions_.remove_if([&request](const Suspicion &suspicion) {
        return suspicion.request_.request_ == request;
    });
}

std::vector<ServerCrash> CrashDetector::suspectedCrashes(const RequestFingerprint &request) const
{
    std::vector<ServerCrash> crashes;
    for (const Suspicion &suspicion : suspicions_) {
        if (suspicion.request_.request_ == request) {
            crashes.push_back(suspicion.request_.crashes_.front());
        }
    }
    return crashes;
}

} // namespace qz
