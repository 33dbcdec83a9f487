// One connection that carries no request.
#include "qz_forward/backends/connectcheck.h"

#include <utility>

namespace qz {

ConnectCheck::ConnectCheck(EventLoop &loop, const Endpoint &server, Duration limit, Handler handler)
    : handler_(std::move(handler))
    , connection_(std::make_unique<BackendConnection>(loop, server, limit))
    , timer_(loop.callAfter(limit, [this] { finish(ConnectResult::TimedOut); }))
{
    connection_->setListener(this);
}

void ConnectCheck::finish(ConnectResult result)
{
    timer_.reset();
    connection_.reset();
    const Handler handler = handler_; // The call may drop this object.
    handler(result);
}

} // namespace qz
