// Serves callers: handles their requests and returns the addresses that they should use.
#pragma once

#include "qz_entries/directory/entrydirectory.h"
#include "qz_http/server/httpexchange.h"
#include "qz_proxy/entry/callerrequest.h"

#include <memory>

namespace qz {

/// Handles every exchange except those of OperatorService. /quetzaldale/addresses returns the
/// addresses that the caller should use; any other path is a request for a backend server.
/// @see CallerRequest, EntryDirectory, OperatorService
class EntryService
{
public:
    /// @p addressTimeToLive: time for which callers should use a returned address.
    EntryService(const EntryContext &context, Duration addressTimeToLive);
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// Returns the addresses for a caller as JSON text.
    std::string addressesFor(const AddressQuery &query) const;

private:
    void replyAddresses(HttpExchange &exchange) const;

    const EntryContext context_;
    const EntryDirectory directory_;
};

} // namespace qz
