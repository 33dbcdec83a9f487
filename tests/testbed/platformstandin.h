// A stand-in for the platform's table, object store and instance list.
#pragma once

#include "qz_http/server/httpserver.h"
#include "qz_platform/instances/instancelist.h"
#include "qz_platform/table/table.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace qz::testing {

/// Serves the protocol of docs/INTERFACES.md from memory, with the faults of the platform.
class PlatformStandIn
{
public:
    enum class Fault {
        None,
        Down,        ///< Every call is refused with 503.
        Silent,      ///< Calls have no effect and no answer.
        LoseAnswers, ///< Calls take effect; the answer is lost.
    };

    PlatformStandIn(EventLoop &loop, const Endpoint &endpoint);

    void setFault(Fault fault) { fault_ = fault; }
    void setDelay(Duration delay) { delay_ = delay; }
    void setListing(InstanceListing listing) { listing_ = std::move(listing); }
    InstanceListing &listing() { return listing_; }

    std::size_t readCount() const { return reads_; }
    std::size_t writeCount() const { return writes_; }
    const std::map<std::string, TableRow> &rows() const { return rows_; }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse answer(const HttpRequest &request);
    HttpResponse readRow(const std::string &key);
    HttpResponse commit(const nlohmann::json &body);
    std::vector<std::string> findConflicts(const nlohmann::json &writes) const;
    HttpResponse useObject(const HttpRequest &request, const std::string &name);

    EventLoop &loop_;
    HttpServer server_;
    Fault fault_ = Fault::None;
    Duration delay_{};
    std::map<std::string, TableRow> rows_;
    RowVersion lastVersion_ = 0;
    std::map<std::string, std::string> objects_;
    InstanceListing listing_;
    std::size_t reads_ = 0;
    std::size_t writes_ = 0;
    std::vector<Timers::HandlePtr> delayed_;
};

} // namespace qz::testing
