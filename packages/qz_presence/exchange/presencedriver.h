// Exchanges presence and health notes with other instances.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_presence/directory/instancedirectory.h"
#include "qz_presence/exchange/presencemessages.h"

#include <functional>

namespace qz {

/// Says a few times a second to all instances of the failure domain that this one is live,
/// and sends health notes to the entries of all failure domains. Notes are sent once and may
/// be lost: the receiver then finds out by its own requests.
///
/// Instances that start together each find only a part of the others in the store. So two
/// instances of a domain that know different ones tell each other all of theirs.
/// @see InstanceDirectory
class PresenceDriver
{
public:
    using HealthReportHandler = std::function<void(const HealthReportMessage &)>;
    using VersionsHandler = std::function<void(const InstanceId &, const TableVersions &)>;

    PresenceDriver(EventLoop &loop, PeerLinks &links, InstanceDirectory &directory);
    ~PresenceDriver();
    PresenceDriver(const PresenceDriver &) = delete;
    PresenceDriver &operator=(const PresenceDriver &) = delete;

    void start();

    /// Takes instances that were found elsewhere.
    void addInstances(const std::vector<InstanceRecord> &records);

    /// What this instance tells of itself; a change is told to the others at once.
    void setState(const InstanceState &state);

    /// The versions that are told with each presence.
    void setVersionsProvider(std::function<TableVersions()> versions)
    {
        versions_ = std::move(versions);
    }
    /// Takes the versions that another instance has.
    void setVersionsHandler(VersionsHandler handler) { versionsHandler_ = std::move(handler); }

    void setHealthReportHandler(HealthReportHandler handler) { noteHandler_ = std::move(handler); }
    void sendHealthReport(const HealthReportMessage &note);

private:
    void announce();
    void receivePresence(const InstanceId &from, std::string_view payload);
    void receiveNote(const InstanceId &from, std::string_view payload);
    void receiveList(const InstanceId &from, std::string_view payload);
    void compareKnown(const InstanceId &from, const PresenceMessage &presence);
    void sendList(const InstanceId &to, bool isAnswer);
    void takeChange();
    void updatePeers();

    EventLoop &loop_;
    PeerLinks &links_;
    InstanceDirectory &directory_;
    HealthReportHandler noteHandler_;
    std::function<TableVersions()> versions_;
    VersionsHandler versionsHandler_;
    InstanceState state_;
    Timers::HandlePtr timer_;
    Timers::HandlePtr announceSoon_; ///< After new instances were found.
    TimePoint listSentAt_{};         ///< A list that was no answer.
};

} // namespace qz
