// The query of a request target, read by libevent.
#include "qz_http/messages/querystring.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace qz {

QueryString::QueryString(const std::string &target)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return;
    }
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(target.c_str() + mark + 1, &parameters) != 0) {
        return;
    }
    for (const evkeyval *entry = parameters.tqh_first; entry != nullptr;
         entry = entry->next.tqe_next) {
        values_[entry->key] = entry->value;
    }
    evhttp_clear_headers(&parameters);
}

std::string QueryString::value(const std::string &name) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? std::string() : found->second;
}

} // namespace qz
