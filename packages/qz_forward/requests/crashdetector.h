// Finds out whether a backend server has ended while it had a request.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_forward/backends/backend.h"
#include "qz_forward/backends/connectcheck.h"
#include "qz_placement/quarantine/crashhistory.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace qz {

/// A connection that breaks during a request may have been closed by a server that still runs, or
/// by the network. The server counts as crashed if it accepts no further connection although
/// another server accepts one from here, or if the platform then lists it no longer, or as started
/// again.
/// @see CrashQuarantine
class CrashDetector
{
public:
    using CrashHandler = std::function<void(const CrashHistory &crash)>;
    /// Returns some servers other than the one given, by which the network path is checked.
    using ReferenceProvider =
            std::function<std::vector<std::shared_ptr<Backend>>(const Backend &server)>;

    CrashDetector(EventLoop &loop, Duration connectLimit, ReferenceProvider references,
                  CrashHandler handler);
    ~CrashDetector();
    CrashDetector(const CrashDetector &) = delete;
    CrashDetector &operator=(const CrashDetector &) = delete;

    /// Starts to observe @p server, whose connection broke just now during @p request. The only
    /// crash of @p request is the suspected one.
    void observe(std::shared_ptr<Backend> server, CrashHistory request);

    /// Stops to suspect @p request, which was answered.
    void dismiss(const RequestFingerprint &request);

    bool isEmpty() const { return suspicions_.empty(); }
    /// Returns the crashes of @p request that are not certain.
    std::vector<ServerCrash> suspectedCrashes(const RequestFingerprint &request) const;

private:
    struct Suspicion
    {
        std::shared_ptr<Backend> server_;
        CrashHistory request_;
        std::vector<std::shared_ptr<Backend>> references_; ///< Not checked yet.
        std::unique_ptr<ConnectCheck> check_;              ///< Under way, or null.
    };
    using Suspicions = std::list<Suspicion>;

    void handleServerCheck(Suspicions::iterator suspicion, ConnectResult result);
    void checkNextReference(Suspicions::iterator suspicion);
    void confirm(Suspicions::iterator suspicion);
    void checkList();

    EventLoop &loop_;
    const Duration connectLimit_;
    const ReferenceProvider references_;
    const CrashHandler handler_;
    Suspicions suspicions_;
    Timers::HandlePtr listTimer_; ///< Set while there are suspicions.
};

} // namespace qz
