// The JSON of the head row.
#include "qz_rules/store/ruleshead.h"

namespace qz {

namespace {

nlohmann::json toJson(const std::vector<VoterId> &voters)
{
    nlohmann::json list = nlohmann::json::array();
    for (const VoterId &voter : voters) {
        list.push_back(voter.value());
    }
    return list;
}

std::vector<VoterId> votersFromJson(const nlohmann::json &list)
{
    std::vector<VoterId> voters;
    for (const nlohmann::json &voter : list) {
        voters.emplace_back(voter.get<std::string>());
    }
    return voters;
}

} // namespace

std::string toString(const RulesStamp &stamp)
{
    return "version " + std::to_string(stamp.version_) + ", epoch " + std::to_string(stamp.epoch_);
}

std::string encodeHead(const RulesHead &head)
{
    return nlohmann::json{
        { "version", head.stamp_.version_ },
        { "epoch", head.stamp_.epoch_ },
        { "hash", head.hash_ },
        { "author", head.author_ },
        { "attempt_token", head.attemptToken_ },
        { "voters", toJson(head.voters_) },
        { "previous_voters", toJson(head.previousVoters_) },
    }
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<RulesHead> decodeHead(const std::string &row)
{
    try {
        const auto json = nlohmann::json::parse(row);
        RulesHead head;
        head.stamp_.version_ = json.at("version").get<RulesVersion>();
        head.stamp_.epoch_ = json.at("epoch").get<std::uint64_t>();
        head.hash_ = json.at("hash").get<std::string>();
        head.author_ = json.at("author").get<std::string>();
        head.attemptToken_ = json.at("attempt_token").get<std::string>();
        head.voters_ = votersFromJson(json.at("voters"));
        head.previousVoters_ = votersFromJson(json.at("previous_voters"));
        return head;
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::MalformedReply, std::string("rules head: ") + error.what());
    }
}

} // namespace qz
