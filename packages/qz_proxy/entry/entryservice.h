// Serves callers: their requests, and the addresses they should use.
#pragma once

#include "qz_entries/directory/entrydirectory.h"
#include "qz_http/server/httpexchange.h"
#include "qz_proxy/entry/callerrequest.h"

#include <memory>

namespace qz {

/// Handles every exchange that is not an operator's. Paths under /quetzaldale/ are its own:
/// /quetzaldale/addresses answers which addresses to use. All others are work.
/// @see CallerRequest, EntryDirectory, OperatorService
class EntryService
{
public:
    /// Callers are told to keep an address for @p addressKeepTime.
    EntryService(const EntryContext &parts, Duration addressKeepTime);
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// The addresses for a caller, as JSON text.
    std::string addressesFor(const AddressQuery &query) const;

private:
    void answerAddresses(HttpExchange &exchange) const;

    const EntryContext parts_;
    const EntryDirectory directory_;
};

} // namespace qz
