// Handles the exchanges of callers.
#include "qz_proxy/entry/entryservice.h"

#include "qz_http/messages/querystring.h"

#include <string_view>

namespace qz {

namespace {

constexpr std::string_view addressesPath = "/quetzaldale/addresses";

EntryDirectory::Limits makeLimits(Duration addressTimeToLive)
{
    EntryDirectory::Limits limits;
    limits.timeToLive_ = addressTimeToLive;
    return limits;
}

} // namespace

EntryService::EntryService(const EntryContext &context, Duration addressTimeToLive)
    : context_(context)
    , directory_(makeLimits(addressTimeToLive))
{
}

void EntryService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string_view target = exchange->request().target_;
    if (target.substr(0, target.find('?')) == addressesPath) {
        replyAddresses(*exchange);
        return;
    }
    CallerRequest::start(context_, exchange);
}

std::string EntryService::addressesFor(const AddressQuery &query) const
{
    std::vector<EntryMember> entries;
    for (const Member &member : context_.fleetState_.members()) {
        const bool isLeaving = member.state_ == MemberState::Leaving
                || (member.id_ == context_.fleetState_.self().id_
                    && context_.fleetState_.isLeaving());
        entries.push_back({ member.id_, member.location_, member.callerEndpoint_, isLeaving });
    }
    return directory_.addressesFor(query, entries).toJson().dump() + "\n";
}

void EntryService::replyAddresses(HttpExchange &exchange) const
{
    const QueryString parameters(exchange.request().target_);
    AddressQuery query;
    query.caller_ = parameters.value("caller");
    query.failureDomain_ = FailureDomainId(parameters.value("failure_domain"));
    query.region_ = RegionId(parameters.value("region"));
    HttpResponse response;
    response.headers_.add("Content-Type", "application/json");
    response.body_ = addressesFor(query);
    exchange.reply(response);
}

} // namespace qz
