// The process of an instance on a fake store.
#pragma once

#include "platform/platformnames.h"
#include "qz_core/ids/ids.h"
#include "qz_http/tests/rawsocket.h"
#include "testbed/daemonprocess.h"
#include "testbed/listenports.h"

#include <memory>
#include <string>
#include <vector>

namespace qz::testing {

/// Runs `quetzaldaled serve` and knows the addresses at which it listens. It may be started again
/// at the same addresses.
struct ServeInstance
{
    ServeInstance(const std::string &name, const Endpoint &store, const std::string &output,
                  const std::string &domain = "d")
        : caller_{ "127.0.0.1", takeListenPort() }
        , directory_{ "127.0.0.1", takeListenPort() }
        , ready_{ "127.0.0.1", takeListenPort() }
        , metrics_{ "127.0.0.1", takeListenPort() }
        , peer_{ "127.0.0.1", takeListenPort() }
        , output_(output)
        , arguments_{ "serve",
                      "--instance-id=" + name,
                      "--region=r",
                      "--failure-domain=" + domain,
                      "--failure-domains=d=r,e=r",
                      "--instances-per-entry=2",
                      "--caller-address=" + toString(caller_),
                      "--directory-address=" + toString(directory_),
                      "--ready-address=" + toString(ready_),
                      "--metrics-address=" + toString(metrics_),
                      "--peer-address=" + toString(peer_),
                      "--store-address=" + toString(store) }
    {
        start();
    }

    void start()
    {
        process_ = std::make_unique<DaemonProcess>(
                QZ_DAEMON_PATH, arguments_,
                std::vector<std::string>{ "QUETZALDALE_FLEET_KEY=a key of this test" }, output_);
    }

    Endpoint caller_;
    Endpoint directory_;
    Endpoint ready_;
    Endpoint metrics_;
    Endpoint peer_;
    std::string output_;
    std::vector<std::string> arguments_;
    std::unique_ptr<DaemonProcess> process_;
};

/// Runs the loop for @p time, whichever connections end meanwhile.
inline void runFor(EventLoop &loop, Duration time)
{
    const TimePoint end = loop.now() + time;
    while (loop.now() < end) {
        loop.runFor(end - loop.now());
    }
}

/// Runs the loop until the instance is ready. Returns false if that takes longer than some seconds.
inline bool awaitReady(EventLoop &loop, const ServeInstance &instance)
{
    constexpr int tries = 100;
    for (int i = 0; i < tries; ++i) {
        RawClient client(loop, instance.ready_);
        client.send(std::string("GET ") + platform::readyPath
                    + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        client.awaitEnd(std::chrono::milliseconds(500));
        if (client.received().substr(0, 12) == "HTTP/1.1 200") {
            return true;
        }
        runFor(loop, std::chrono::milliseconds(50));
    }
    return false;
}

} // namespace qz::testing
