// Exchanges presence messages, and reports about backend servers, with other instances.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencemessages.h"

#include <functional>
#include <string>
#include <vector>

namespace qz {

/// Sends presence messages to all instances of the failure domain a few times a second, health
/// reports to the entry instances of all failure domains, and statements of backend servers and
/// crash reports to all instances. Each may be lost. The receiver then learns the same by its own
/// requests; crash reports are repeated instead.
///
/// Instances that start at the same time each find only some of the others in the store.
/// Therefore two instances whose lists of known instances differ exchange them. One instance of
/// each domain sends its presence messages, less often, to the other domains too.
/// @see InstanceDirectory
class PresenceDriver
{
public:
    using HealthReportHandler = std::function<void(const HealthReportMessage &)>;
    using ServerStatementHandler = std::function<void(const ServerStatementMessage &)>;
    using CrashReportHandler = std::function<void(const CrashReportMessage &)>;
    /// Called with an instance of this failure domain that was not heard of before, or not since
    /// the link to it was lost.
    using InstanceHeardHandler = std::function<void(const InstanceId &)>;
    using VersionsHandler = std::function<void(const InstanceId &, const TableVersions &)>;

    PresenceDriver(EventLoop &loop, PeerLinks &links, InstanceDirectory &directory);
    ~PresenceDriver();
    PresenceDriver(const PresenceDriver &) = delete;
    PresenceDriver &operator=(const PresenceDriver &) = delete;

    void start();

    /// Adds instances that were found by other means, such as the store.
    void addInstances(const std::vector<InstanceRecord> &records);

    /// Sets this instance's state. A change is announced to the other instances immediately.
    void setState(const InstanceState &state);

    /// Sets the function that returns the table versions to send with each presence message.
    void setVersionsProvider(std::function<TableVersions()> versions)
    {
        versionsProvider_ = std::move(versions);
    }
    /// Sets the handler for the table versions of another instance.
    void setVersionsHandler(VersionsHandler handler) { versionsHandler_ = std::move(handler); }

    void setHealthReportHandler(HealthReportHandler handler)
    {
        healthReportHandler_ = std::move(handler);
    }
    /// Sends a health report to the entry instances of all failure domains.
    void sendHealthReport(const HealthReportMessage &report);

    void setServerStatementHandler(ServerStatementHandler handler)
    {
        serverStatementHandler_ = std::move(handler);
    }
    /// Sends a statement to all instances, since any instance may get requests of callers. The
    /// entry instances of other failure domains pass it on in their domain.
    void sendServerStatement(const ServerStatementMessage &statement);

    void setCrashReportHandler(CrashReportHandler handler)
    {
        crashReportHandler_ = std::move(handler);
    }
    /// Sends a report to all instances, as sendServerStatement() does.
    void sendCrashReport(const CrashReportMessage &report);
    /// Sends a report to one instance of this failure domain.
    void sendCrashReport(const InstanceId &receiver, const CrashReportMessage &report);

    void setInstanceHeardHandler(InstanceHeardHandler handler)
    {
        instanceHeardHandler_ = std::move(handler);
    }

private:
    void announce();
    /// Sends a presence message to one instance of each other failure domain, if this instance is
    /// the first entry instance of its own.
    void announceToOtherDomains(const std::string &message);
    /// Sends a message to all instances. The entry instances of other failure domains pass it on in
    /// their domain. @see passOn
    void sendToAll(MessageKind kind, const std::string &message);
    /// Passes on a message that arrived from an instance of another failure domain.
    void passOn(const InstanceId &from, MessageKind kind, std::string_view payload);
    void receiveCrashReport(const InstanceId &from, std::string_view payload);
    void receivePresence(const InstanceId &from, std::string_view payload);
    void receiveHealthReport(const InstanceId &from, std::string_view payload);
    void receiveServerStatement(const InstanceId &from, std::string_view payload);
    void sendReport(const std::vector<InstanceRecord> &receivers, MessageKind kind,
                    const std::string &message);
    void receiveList(const InstanceId &from, std::string_view payload);
    void compareKnownInstances(const InstanceId &from, const PresenceMessage &presence);
    void sendList(const InstanceId &to, bool isReply);
    void handleChange();
    void updatePeers();

    EventLoop &loop_;
    PeerLinks &links_;
    InstanceDirectory &directory_;
    HealthReportHandler healthReportHandler_;
    ServerStatementHandler serverStatementHandler_;
    CrashReportHandler crashReportHandler_;
    InstanceHeardHandler instanceHeardHandler_;
    std::function<TableVersions()> versionsProvider_;
    VersionsHandler versionsHandler_;
    InstanceState state_;
    int announcements_ = 0;
    Timers::HandlePtr periodicTimer_;
    Timers::HandlePtr announceTimer_; ///< Set after an instance was added or its record changed.
    /// Time when this instance last sent its list other than as a reply.
    TimePoint listSentAt_{};
};

} // namespace qz
