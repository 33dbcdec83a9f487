// Which link to use for which peer, when to dial, and what becomes of waiting messages.
#include "qz_fleet/links/peerlinks.h"

#include "qz_core/logging/logger.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace qz {

namespace {

constexpr Duration checkPeriod = std::chrono::milliseconds(50);
constexpr int listenBacklog = 512;

} // namespace

PeerLinks::PeerLinks(const Builder &builder)
    : loop_(*builder.loop_)
    , self_(builder.self_)
    , listenEndpoint_(builder.listenEndpoint_)
    , fleetKey_(builder.fleetKey_)
    , limits_(builder.limits_)
{
}

PeerLinks::~PeerLinks()
{
    stop();
}

Result<void> PeerLinks::start()
{
    assert(listener_ == nullptr);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listenEndpoint_.port_);
    if (inet_pton(AF_INET, listenEndpoint_.host_.c_str(), &address.sin_addr) != 1) {
        return failure(ErrorKind::InvalidSettings, "not an IP number: " + listenEndpoint_.host_);
    }
    const unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    listener_ =
            evconnlistener_new_bind(loop_.base(), &PeerLinks::onAccept, this, flags, listenBacklog,
                                    reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (listener_ == nullptr) {
        return failure(ErrorKind::InvalidSettings, "cannot listen on " + toString(listenEndpoint_));
    }
    evconnlistener_set_error_cb(listener_, &PeerLinks::onAcceptError);
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&address), &length);
    listenEndpoint_.port_ = ntohs(address.sin_port);
    checkTimer_ = loop_.callEvery(checkPeriod, [this] { check(); });
    return success();
}

void PeerLinks::stop()
{
    checkTimer_.reset();
    dialTimer_.reset();
    if (listener_ != nullptr) {
        evconnlistener_free(std::exchange(listener_, nullptr));
    }
    for (const PeerLink::Ptr &link : handshakes_) {
        link->close();
    }
    handshakes_.clear();
    for (auto &[id, state] : peers_) {
        for (const PeerLink::Ptr &link : { state.link_, state.dialing_ }) {
            if (link) {
                link->close();
            }
        }
        state.link_.reset();
        state.dialing_.reset();
        state.outbox_.takeAll();
    }
}

void PeerLinks::setHandler(MessageKind kind, Handler handler)
{
    assert(!isLinkInternal(kind));
    handlers_.at(static_cast<std::size_t>(kind)) = std::move(handler);
}

void PeerLinks::setPeers(const std::vector<Peer> &peers)
{
    for (auto &[id, state] : peers_) {
        state.endpoint_.reset();
    }
    for (const Peer &peer : peers) {
        if (peer.id_ != self_.id_) {
            stateOf(peer.id_).endpoint_ = peer.endpoint_;
        }
    }
    forgetUnused();
}

Result<void> PeerLinks::send(const InstanceId &to, MessageKind kind, std::string payload)
{
    assert(!isLinkInternal(kind));
    if (payload.size() + frameOverheadBytes > limits_.maxFrameBytes_) {
        return failure(ErrorKind::FrameTooLong, "a message of " + std::to_string(payload.size()));
    }
    const auto peer = peers_.find(to);
    if (listener_ == nullptr || peer == peers_.end()) {
        return failure(ErrorKind::GateUnreachable, "no address of " + to.value());
    }
    PeerState &state = peer->second;
    if (state.link_) {
        if (state.link_->outputBytes() + payload.size() > limits_.maxOutputBytes_) {
            return failure(ErrorKind::GateUnreachable, "the output to " + to.value() + " is full");
        }
        state.link_->send(kind, payload);
        ++counters_.messagesSent_;
        return success();
    }
    const bool isWaiting = !state.outbox_.isEmpty();
    if (!isWaiting && (!state.endpoint_ || loop_.now() < state.dialAt_)) {
        return failure(ErrorKind::GateUnreachable, "no link to " + to.value());
    }
    if (!state.outbox_.put(kind, std::move(payload))) {
        return failure(ErrorKind::GateUnreachable, "the output to " + to.value() + " is full");
    }
    if (!isWaiting) {
        state.waitingSince_ = loop_.now();
        // Not from here: a dial that fails at once runs handlers.
        dialTimer_ = loop_.callAfter(Duration(0), [this] { dialWaiting(); });
    }
    ++counters_.messagesSent_;
    return success();
}

bool PeerLinks::isUp(const InstanceId &peer) const
{
    const auto state = peers_.find(peer);
    return state != peers_.end() && state->second.link_ != nullptr;
}

std::size_t PeerLinks::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, state] : peers_) {
        bytes += state.outbox_.bytes();
        bytes += state.link_ ? state.link_->outputBytes() : 0;
    }
    return bytes;
}

nlohmann::json PeerLinks::dumpState() const
{
    nlohmann::json peers = nlohmann::json::object();
    for (const auto &[id, state] : peers_) {
        nlohmann::json entry;
        entry["endpoint"] = state.endpoint_ ? toString(*state.endpoint_) : "";
        entry["link"] = state.link_ ? "up" : (state.dialing_ ? "dialing" : "down");
        entry["waiting_bytes"] = state.outbox_.bytes();
        entry["output_bytes"] = state.link_ ? state.link_->outputBytes() : 0;
        entry["incarnation"] = state.link_ ? state.link_->peer().incarnation_ : "";
        peers[id.value()] = std::move(entry);
    }
    return { { "listen", toString(listenEndpoint_) },
             { "peers", std::move(peers) },
             { "handshakes", handshakes_.size() },
             { "links_established", counters_.linksEstablished_ },
             { "links_lost", counters_.linksLost_ },
             { "links_refused", counters_.linksRefused_ },
             { "messages_sent", counters_.messagesSent_ },
             { "messages_received", counters_.messagesReceived_ },
             { "messages_dropped", counters_.messagesDropped_ } };
}

void PeerLinks::onAccept(evconnlistener * /*listener*/, int descriptor, sockaddr * /*address*/,
                         int /*length*/, void *self)
{
    static_cast<PeerLinks *>(self)->acceptLink(descriptor);
}

/// Out of descriptors, most likely: accepts again with the next check, not in a busy loop.
void PeerLinks::onAcceptError(evconnlistener *listener, void * /*self*/)
{
    const int error = EVUTIL_SOCKET_ERROR();
    log(LogLevel::Error, "cannot accept a peer link",
        { { "cause", evutil_socket_error_to_string(error) } });
    evconnlistener_disable(listener);
}

void PeerLinks::acceptLink(int descriptor)
{
    if (handshakes_.size() >= limits_.maxHandshakes_) {
        evutil_closesocket(descriptor);
        ++counters_.linksRefused_;
        return;
    }
    const PeerLink::Ptr link = makeLink(descriptor, LinkRole::Acceptor, std::nullopt);
    handshakes_.insert(link);
    link->accept();
}

PeerLink::Ptr PeerLinks::makeLink(int descriptor, LinkRole role, std::optional<InstanceId> peer)
{
    bufferevent *socket = bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    Handshake handshake(role, self_, fleetKey_, makeHandshakeNonce(), std::move(peer));
    auto link = std::make_shared<PeerLink>(loop_, limits_, socket, std::move(handshake));
    wireEvents(*link);
    return link;
}

void PeerLinks::wireEvents(PeerLink &link)
{
    PeerLink::Events events;
    events.admit_ = [this](PeerLink &source) { return admit(source); };
    events.established_ = [this](PeerLink &source) { establish(source); };
    events.received_ = [this](PeerLink &source, const Frame &frame) { receive(source, frame); };
    events.closed_ = [this](PeerLink &source, const Error &error) { closed(source, error); };
    link.setEvents(std::move(events));
}

PeerLinks::PeerState &PeerLinks::stateOf(const InstanceId &peer)
{
    return peers_.try_emplace(peer, limits_.maxOutputBytes_).first->second;
}

/// Both sides decide alike: of two links that are dialed at once, the one dialed by the
/// instance with the lower id is kept.
bool PeerLinks::admit(PeerLink &link)
{
    if (link.role() == LinkRole::Dialer) {
        return true;
    }
    const InstanceId peer = link.peer().id_;
    PeerState &state = stateOf(peer);
    if (isKeptAgainst(link, state)) {
        return false;
    }
    if (state.dialing_) {
        state.dialing_->close();
        state.dialing_.reset();
    }
    if (state.link_) { // The peer would not dial if it still had this link.
        state.link_->close();
        loseLink(peer, state);
    }
    return listener_ != nullptr; // A handler may have stopped everything.
}

/// True if a link that we dialed goes before the accepted @p link.
bool PeerLinks::isKeptAgainst(const PeerLink &link, const PeerState &state) const
{
    if (link.peer().id_ < self_.id_) {
        return false;
    }
    if (state.dialing_) {
        return state.dialing_->isConnected();
    }
    // The peer may have dialed before it saw our link, which is then a young one.
    return state.link_ && state.link_->role() == LinkRole::Dialer
            && state.link_->peer().incarnation_ == link.peer().incarnation_
            && loop_.now() - state.link_->establishedAt() < limits_.handshakeLimit_;
}

void PeerLinks::establish(PeerLink &link)
{
    const InstanceId peer = link.peer().id_;
    PeerState &state = stateOf(peer);
    assert(!state.link_);
    handshakes_.erase(link.shared_from_this());
    state.dialing_.reset();
    state.link_ = link.shared_from_this();
    state.backoff_ = Duration(0);
    state.dialAt_ = TimePoint();
    ++counters_.linksEstablished_;
    log(LogLevel::Info, "peer link established", { { "peer", peer.value() } });
    for (const Frame &frame : state.outbox_.takeAll()) {
        link.send(frame.kind_, frame.payload_);
    }
}

void PeerLinks::receive(PeerLink &link, const Frame &frame)
{
    const auto &handler = handlers_.at(static_cast<std::size_t>(frame.kind_));
    if (!handler) {
        ++counters_.messagesDropped_;
        log(LogLevel::Warning, "peer message without a handler",
            { { "peer", link.peer().id_.value() }, { "kind", toString(frame.kind_) } });
        return;
    }
    ++counters_.messagesReceived_;
    const InstanceId peer = link.peer().id_;
    handler(peer, frame.payload_);
}

void PeerLinks::closed(PeerLink &link, const Error &error)
{
    const PeerLink::Ptr self = link.shared_from_this();
    const InstanceId peer = link.peer().id_;
    const bool isPlain =
            error.kind_ == ErrorKind::PeerLinkLost || error.kind_ == ErrorKind::GateUnreachable;
    log(isPlain ? LogLevel::Warning : LogLevel::Error, "peer link closed",
        { { "peer", peer.value() },
          { "kind", toString(error.kind_) },
          { "cause", error.message_ } });
    if (handshakes_.erase(self) != 0) {
        ++counters_.linksRefused_;
        return;
    }
    const std::optional<InstanceId> owner = ownerOf(self);
    if (!owner) {
        return;
    }
    PeerState &state = stateOf(*owner);
    if (state.link_ == self) {
        loseLink(*owner, state);
    } else {
        dialFailed(*owner, state, error);
    }
}

std::optional<InstanceId> PeerLinks::ownerOf(const PeerLink::Ptr &link) const
{
    const auto owner = std::find_if(peers_.begin(), peers_.end(), [&link](const auto &entry) {
        return entry.second.link_ == link || entry.second.dialing_ == link;
    });
    return owner == peers_.end() ? std::nullopt : std::optional<InstanceId>(owner->first);
}

void PeerLinks::loseLink(const InstanceId &peer, PeerState &state)
{
    state.link_.reset();
    ++counters_.linksLost_;
    if (linkLost_) {
        linkLost_(peer);
    }
}

void PeerLinks::dialFailed(const InstanceId &peer, PeerState &state, const Error &error)
{
    const bool wasConnected = state.dialing_->isConnected();
    state.dialing_.reset();
    ++counters_.linksRefused_;
    if (wasConnected && peer < self_.id_ && error.kind_ == ErrorKind::PeerLinkLost) {
        // The peer may keep the link that it dials itself: wait for that one or dial again.
        state.dialAt_ = loop_.now() + limits_.minBackoff_;
        return;
    }
    giveUp(peer, state);
}

void PeerLinks::giveUp(const InstanceId &peer, PeerState &state)
{
    state.backoff_ = std::clamp(2 * state.backoff_, limits_.minBackoff_, limits_.maxBackoff_);
    state.dialAt_ = loop_.now() + state.backoff_;
    const auto unsent = state.outbox_.takeAll();
    if (unsent_) {
        for (const Frame &frame : unsent) {
            unsent_(peer, frame.kind_, frame.payload_);
        }
    }
    if (linkLost_ && !unsent.empty()) {
        linkLost_(peer);
    }
}

void PeerLinks::check()
{
    std::vector<PeerLink::Ptr> links(handshakes_.begin(), handshakes_.end());
    for (const auto &[id, state] : peers_) {
        for (const PeerLink::Ptr &link : { state.link_, state.dialing_ }) {
            if (link) {
                links.push_back(link);
            }
        }
    }
    for (const PeerLink::Ptr &link : links) {
        link->checkTimes();
    }
    if (listener_ != nullptr) {
        evconnlistener_enable(listener_);
        dialWaiting();
    }
}

void PeerLinks::dialWaiting()
{
    const TimePoint now = loop_.now();
    std::vector<InstanceId> waiting;
    for (const auto &[id, state] : peers_) {
        if (!state.outbox_.isEmpty() && !state.dialing_) {
            waiting.push_back(id);
        }
    }
    for (const InstanceId &id : waiting) {
        const auto peer = peers_.find(id);
        if (peer == peers_.end() || peer->second.outbox_.isEmpty() || peer->second.dialing_) {
            continue; // A handler that ran meanwhile has changed it.
        }
        PeerState &state = peer->second;
        if (!state.endpoint_ || now - state.waitingSince_ >= limits_.handshakeLimit_) {
            giveUp(id, state);
        } else if (now >= state.dialAt_) {
            dial(id, state);
        }
    }
}

void PeerLinks::dial(const InstanceId &peer, PeerState &state)
{
    constexpr int noDescriptor = -1;
    const PeerLink::Ptr link = makeLink(noDescriptor, LinkRole::Dialer, peer);
    state.dialing_ = link;
    link->dial(*state.endpoint_);
}

void PeerLinks::forgetUnused()
{
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        const PeerState &state = peer->second;
        const bool isUsed =
                state.endpoint_ || state.link_ || state.dialing_ || !state.outbox_.isEmpty();
        peer = isUsed ? std::next(peer) : peers_.erase(peer);
    }
}

PeerLinks::Builder &PeerLinks::Builder::setLoop(EventLoop &loop)
{
    loop_ = &loop;
    return *this;
}

PeerLinks::Builder &PeerLinks::Builder::setSelf(InstanceId id, std::string incarnation)
{
    self_ = LinkIdentity{ std::move(id), std::move(incarnation) };
    return *this;
}

PeerLinks::Builder &PeerLinks::Builder::setListenEndpoint(Endpoint endpoint)
{
    listenEndpoint_ = std::move(endpoint);
    return *this;
}

PeerLinks::Builder &PeerLinks::Builder::setFleetKey(std::string fleetKey)
{
    fleetKey_ = std::move(fleetKey);
    return *this;
}

PeerLinks::Builder &PeerLinks::Builder::setLimits(const LinkLimits &limits)
{
    limits_ = limits;
    return *this;
}

std::unique_ptr<PeerLinks> PeerLinks::Builder::build() const
{
    assert(loop_ != nullptr);
    assert(!self_.id_.isEmpty());
    assert(!fleetKey_.empty());
    return std::unique_ptr<PeerLinks>(new PeerLinks(*this));
}

} // namespace qz
