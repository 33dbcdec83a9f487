// Runs a Membership on the event loop, with its timers, links and the platform's list.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_fleet/membership/membership.h"
#include "qz_platform/instances/instancelist.h"

#include <functional>
#include <memory>

namespace qz {

/// Drives a Membership: calls its tick(), exchanges its heartbeats over PeerLinks, passes on the
/// instances that it fetches from the InstanceList, and keeps the peers of the links up to date.
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
        InstanceList &instanceList_;
        const Clock &clock_;
        Timers &timers_;
    };

    explicit MembershipDriver(const Parts &parts);
    ~MembershipDriver();
    MembershipDriver(const MembershipDriver &) = delete;
    MembershipDriver &operator=(const MembershipDriver &) = delete;

    /// Starts the timers and sets the handler of the links for MembershipGossip.
    void start();

    /// Stops the timers and announces to the neighbours that this instance stops.
    void stop();

    /// Sets a function that is called for each change of the members.
    void setChangeListener(ChangeListener listener) { changeListener_ = std::move(listener); }

    /// Sets a function that is called with each list that was fetched.
    void setListingListener(ListingListener listener) { listingListener_ = std::move(listener); }

    /// To be called by the handler for lost links.
    void handleLinkLost() { parts_.membership_.handleLinkLost(); }

    /// Announces that this instance is leaving. Heartbeats continue until stop().
    void startLeaving();

    void setRulesVersion(RulesVersion version) { parts_.membership_.setRulesVersion(version); }

private:
    void tick();
    void fetchList();
    void receive(const InstanceId &from, std::string_view payload);
    void sendAll(const Membership::Outgoing &outgoing);
    void publishChanges();

    Parts parts_;
    ChangeListener changeListener_;
    ListingListener listingListener_;
    Timers::HandlePtr tickTimer_;
    Timers::HandlePtr listTimer_;
    bool isFetching_ = false; ///< At most one fetch is in progress.
    /// Expires with the driver, so that late completions can detect its destruction.
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace qz
