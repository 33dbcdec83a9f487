// The platform's services by HTTP and JSON.
#pragma once

#include "qz_http/client/httpclientpool.h"
#include "qz_platform/instances/instancelist.h"
#include "qz_platform/objects/objectstore.h"
#include "qz_platform/table/table.h"

namespace qz {

/// Client of the platform's table, object store and instance list at one address. Every
/// call has a deadline. docs/INTERFACES.md states the protocol.
///
/// A call that failed before a byte was sent, or that the service itself refused (503), is
/// StoreUnavailable; any other failure may hide a call that was carried out and is
/// StoreTimeout.
class PlatformClient : public Table, public ObjectStore, public InstanceList
{
public:
    PlatformClient(EventLoop &loop, Endpoint platform, Duration callTimeout);

    void read(const std::string &key, ReadDone done) override;
    void commit(std::vector<TableWrite> writes, CommitDone done) override;
    void get(const std::string &name, GetDone done) override;
    void put(const std::string &name, std::string content, PutDone done) override;
    void fetch(InstanceList::Done done) override;

private:
    void call(HttpRequest request, HttpClientPool::Done done);

    HttpClientPool pool_;
    const Duration callTimeout_;
};

} // namespace qz
