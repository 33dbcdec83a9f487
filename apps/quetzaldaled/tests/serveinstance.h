// The process of an instance on a fake store.
#pragma once

#include "qz_core/ids/ids.h"
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

} // namespace qz::testing
