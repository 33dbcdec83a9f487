// Pairs of connections and what happens to their bytes.
#include "testbed/relay.h"

#include "qz_http/tests/rawsocket.h"
#include "testbed/socketowner.h"

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <string>
#include <utility>

namespace qz::testing {

struct Relay::Pair
{
    /// Bytes on their way in one direction.
    struct Way
    {
        bufferevent *from_ = nullptr;
        bufferevent *to_ = nullptr;
        bool isLost_ = false; ///< Has lost bytes; nothing more may come through.
        std::deque<Timers::HandlePtr> delayed_;
    };

    explicit Pair(Relay &relay)
        : relay_(relay)
    {
    }
    ~Pair()
    {
        toServer_.delayed_.clear();
        toClient_.delayed_.clear();
        bufferevent_free(toServer_.from_);
        bufferevent_free(toServer_.to_);
    }
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;

    Relay &relay_;
    pid_t owner_ = 0; ///< Zero: none of those that are told apart.
    Way toServer_;
    Way toClient_;
};

Relay::Relay(EventLoop &loop, Endpoint server)
    : loop_(loop)
    , server_(std::move(server))
{
    sockaddr_in address = toAddress({ "127.0.0.1", 0 });
    listener_ = evconnlistener_new_bind(
            loop.base(), &Relay::onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
            reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (listener_ == nullptr) {
        throw std::runtime_error("a relay cannot listen");
    }
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr *>(&address), &size);
    endpoint_ = { "127.0.0.1", ntohs(address.sin_port) };
}

Relay::~Relay()
{
    stop();
}

void Relay::stop()
{
    if (listener_ != nullptr) {
        evconnlistener_free(std::exchange(listener_, nullptr));
    }
    while (!pairs_.empty()) {
        drop(*pairs_.front(), true);
    }
}

void Relay::setMode(RelayMode mode, Duration delay)
{
    mode_ = mode;
    delay_ = delay;
    if (mode == RelayMode::Reset) {
        while (!pairs_.empty()) {
            drop(*pairs_.front(), true);
        }
    }
}

void Relay::setModeFor(pid_t process, RelayMode mode)
{
    if (mode == RelayMode::Pass) {
        processModes_.erase(process);
        return;
    }
    processModes_[process] = mode;
    if (mode == RelayMode::Reset) {
        std::vector<Pair *> owned;
        for (const auto &pair : pairs_) {
            if (pair->owner_ == process) {
                owned.push_back(pair.get());
            }
        }
        for (Pair *pair : owned) {
            drop(*pair, true);
        }
    }
}

RelayMode Relay::modeOf(pid_t process) const
{
    const auto found = processModes_.find(process);
    return found == processModes_.end() ? mode_ : found->second;
}

void Relay::onAccept(evconnlistener * /*listener*/, int descriptor, sockaddr * /*address*/,
                     int /*length*/, void *self)
{
    auto &relay = *static_cast<Relay *>(self);
    auto pair = std::make_unique<Pair>(relay);
    event_base *base = relay.loop_.base();
    bufferevent *client = bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    bufferevent *server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    pair->toServer_.from_ = pair->toClient_.to_ = client;
    pair->toServer_.to_ = pair->toClient_.from_ = server;
    for (bufferevent *stream : { client, server }) {
        bufferevent_setcb(stream, &Relay::onRead, nullptr, &Relay::onEvent, pair.get());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    pair->owner_ = relay.processes_.empty() ? 0 : findSocketOwner(descriptor, relay.processes_);
    const RelayMode mode = relay.modeOf(pair->owner_);
    relay.pairs_.push_back(std::move(pair));
    if (mode == RelayMode::Reset || mode == RelayMode::ResetNew) {
        relay.drop(*relay.pairs_.back(), true);
        return;
    }
    const sockaddr_in address = toAddress(relay.server_);
    bufferevent_socket_connect(server, reinterpret_cast<const sockaddr *>(&address),
                               sizeof address);
}

void Relay::onRead(bufferevent *from, void *pair)
{
    auto &joined = *static_cast<Pair *>(pair);
    joined.relay_.pass(joined, from == joined.toServer_.from_);
}

void Relay::pass(Pair &pair, bool isToServer)
{
    Pair::Way &way = isToServer ? pair.toServer_ : pair.toClient_;
    evbuffer *input = bufferevent_get_input(way.from_);
    const RelayMode loses = isToServer ? RelayMode::LoseToServer : RelayMode::LoseToClient;
    const RelayMode mode = modeOf(pair.owner_);
    way.isLost_ = way.isLost_ || mode == loses || mode == RelayMode::Silent;
    if (way.isLost_) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    // Bytes must not overtake those that are still delayed.
    if (mode != RelayMode::Delay && way.delayed_.empty()) {
        evbuffer_add_buffer(bufferevent_get_output(way.to_), input);
        return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    way.delayed_.push_back(loop_.callAfter(delay_, [&way, bytes = std::move(bytes)] {
        bufferevent_write(way.to_, bytes.data(), bytes.size());
        way.delayed_.pop_front();
    }));
}

void Relay::onEvent(bufferevent * /*stream*/, short events, void *pair)
{
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    auto &joined = *static_cast<Pair *>(pair);
    const bool isSilent = joined.toServer_.isLost_ || joined.toClient_.isLost_;
    if (!isSilent) {
        joined.relay_.drop(joined, (events & BEV_EVENT_ERROR) != 0);
    }
    // The end of a silent connection does not come through either.
}

void Relay::drop(Pair &pair, bool isReset)
{
    for (bufferevent *stream : { pair.toServer_.from_, pair.toServer_.to_ }) {
        if (isReset && bufferevent_getfd(stream) >= 0) {
            const linger abort{ 1, 0 };
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        } else {
            // What was read last goes out before the end.
            evbuffer_write(bufferevent_get_output(stream), bufferevent_getfd(stream));
        }
    }
    pairs_.remove_if([&pair](const auto &entry) { return entry.get() == &pair; });
}

} // namespace qz::testing
