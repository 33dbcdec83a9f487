// Membership on the event loop: its timers, links and the platform's list.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_fleet/membership/membership.h"
#include "qz_platform/instances/instancelist.h"

#include <functional>
#include <memory>

namespace qz {

/// Drives a Membership: lets its time pass, carries its heartbeats over PeerLinks, feeds it
/// with the InstanceList and keeps the addresses of the links up to date.
/// @see Membership
class MembershipDriver
{
public:
    using ChangeListener = std::function<void(const MemberChange &change)>;
    using ListingListener = std::function<void(const InstanceListing &listing)>;

    /// All parts must outlive the driver.
    struct Parts
    {
        Membership &membership_;
        PeerLinks &links_;
        InstanceList &list_;
        const Clock &clock_;
        Timers &timers_;
    };

    explicit MembershipDriver(const Parts &parts);
    ~MembershipDriver();
    MembershipDriver(const MembershipDriver &) = delete;
    MembershipDriver &operator=(const MembershipDriver &) = delete;

    /// Begins; takes over the links' handler for MembershipGossip.
    void start();

    /// Tells the neighbours that this instance ends, and stops.
    void stop();

    /// Called for each change of the members.
    void setChangeListener(ChangeListener listener) { changed_ = std::move(listener); }

    /// Called with each listing that was fetched.
    void setListingListener(ListingListener listener) { listed_ = std::move(listener); }

    /// To be called by the links' handler for lost links.
    void handleLinkLost() { parts_.membership_.handleLinkLost(); }

    /// This instance is leaving; heartbeats go on until stop().
    void startLeaving();

    void setRulesVersion(RulesVersion version) { parts_.membership_.setRulesVersion(version); }

private:
    void tick();
    void fetchList();
    void receive(const InstanceId &from, std::string_view payload);
    void deliver(const Membership::Outgoing &outgoing);
    void publishChanges();

    Parts parts_;
    ChangeListener changed_;
    ListingListener listed_;
    Timers::HandlePtr tickTimer_;
    Timers::HandlePtr listTimer_;
    bool isFetching_ = false;                                      ///< At most one fetch runs.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true); ///< For late completions.
};

} // namespace qz
