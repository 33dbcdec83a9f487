// The format of the rules document and its checks.
#include "qz_rules/model/rulesparser.h"

#include "qz_rules/model/duplicatefinder.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <set>

namespace qz {

namespace {

constexpr int highestOrder = 1000;
constexpr std::int64_t longestMs = 24LL * 60 * 60 * 1000;
constexpr double worthLimit = 1e9;
constexpr NumberRange fraction{ 0.0, 1.0 };
constexpr NumberRange worthRange{ 0.0, worthLimit };
constexpr NumberRange weightRange{ 0.001, 1e6 };
constexpr double shareTolerance = 1e-9;
constexpr std::size_t prefixDepthLimit = 32;

std::string positionText(std::string_view text, std::size_t byte)
{
    const std::string_view before = text.substr(0, byte == 0 ? 0 : byte - 1);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t lineStart = before.rfind('\n') + 1; // npos + 1 is 0.
    return "line " + std::to_string(line) + ", column "
            + std::to_string(before.size() - lineStart + 1);
}

/// The library's message without its own name and position.
std::string plainMessage(const std::string &what)
{
    const std::size_t column = what.find(", column ");
    const std::size_t colon = column == std::string::npos ? column : what.find(": ", column);
    return colon == std::string::npos ? what : what.substr(colon + 2);
}

std::string inQuotes(const std::string &name)
{
    return "\"" + name + "\"";
}

} // namespace

RulesParser::RulesParser()
    : rules_(new RuleSet)
{
}

Result<nlohmann::json> RulesParser::parseText(std::string_view json)
{
    if (json.size() > documentLimitBytes) {
        return failure(ErrorKind::InvalidRules, "document: is larger than 64 MiB");
    }
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(json);
    } catch (const nlohmann::json::parse_error &error) {
        return failure(ErrorKind::InvalidRules,
                       positionText(json, error.byte) + ": " + plainMessage(error.what()));
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::InvalidRules, std::string("document: ") + error.what());
    }
    const std::string duplicate = DuplicateFinder::find(json);
    if (!duplicate.empty()) {
        return failure(ErrorKind::InvalidRules,
                       duplicate + ": member is given twice in one object");
    }
    return document;
}

Result<std::shared_ptr<const RuleSet>> RulesParser::parse(std::string_view json)
{
    const auto document = parseText(json);
    if (!document) {
        return document.error();
    }
    readDocument(document.value());
    if (!problems_.isEmpty()) {
        return failure(ErrorKind::InvalidRules, problems_.text());
    }
    rules_->indexKinds();
    return std::shared_ptr<const RuleSet>(std::move(rules_));
}

void RulesParser::readDocument(const nlohmann::json &document)
{
    static constexpr std::array sections{
        Section{ "ranks", &RulesParser::readRank },
        Section{ "services", &RulesParser::readService },
        Section{ "routes", &RulesParser::readRoute },
        Section{ "kinds", &RulesParser::readKind },
        Section{ "workspaces", &RulesParser::readWorkspace },
        Section{ "backend_servers", &RulesParser::readBackendServer },
    };
    if (!document.is_object()) {
        problems_.add("document", "must be an object");
        return;
    }
    for (const Section &section : sections) {
        readSection(document, section);
    }
    for (const auto &member : document.items()) {
        const bool isKnown =
                std::any_of(sections.begin(), sections.end(),
                            [&member](const Section &s) { return member.key() == s.name_; });
        if (!isKnown) {
            problems_.add(member.key(), "is not a known member");
        }
    }
    checkRanks();
    checkKinds();
}

void RulesParser::readSection(const nlohmann::json &document, const Section &section)
{
    const auto elements = document.find(section.name_);
    if (elements == document.end()) {
        problems_.add(section.name_, "is required");
        return;
    }
    if (!elements->is_array()) {
        problems_.add(section.name_, "must be a list");
        return;
    }
    names_.clear();
    for (std::size_t i = 0; i < elements->size(); ++i) {
        const ElementPath path{ section.name_, i };
        const nlohmann::json &element = (*elements)[i];
        if (!element.is_object()) {
            problems_.add(path.text(), "must be an object");
        }
        ObjectReader reader(element, path, problems_);
        (this->*section.read_)(reader);
        reader.finish();
    }
}

void RulesParser::readRank(ObjectReader &reader)
{
    Rank rank;
    rank.name_ = reader.name("name");
    checkUnique(reader, rank.name_);
    rank.order_ = static_cast<int>(reader.integer("order", 0, highestOrder));
    rank.target_ = std::chrono::milliseconds(reader.integer("target_ms", 1, longestMs));
    rank.share_ = reader.number("share", fraction);
    rank.worth_ = reader.number("worth", worthRange);
    rules_->ranks_.push_back(std::move(rank));
}

void RulesParser::readKind(ObjectReader &reader)
{
    WorkKind kind;
    kind.name_ = reader.name("name");
    checkUnique(reader, kind.name_);
    kind.selector_ = Selector(reader.labels("selector"));
    rankOfKind_.push_back(reader.name("rank"));
    kind.deadline_ = std::chrono::milliseconds(reader.integer("deadline_ms", 1, longestMs));
    constexpr double asRank = -1.0;
    kind.worth_ = reader.optionalNumber("worth", worthRange).value_or(asRank);
    kind.repeatable_ = reader.boolean("repeatable");
    kind.servers_ = Selector(reader.labels("servers"));
    rules_->kinds_.push_back(std::move(kind));
}

void RulesParser::readRoute(ObjectReader &reader)
{
    Route route;
    route.pathPrefix_ = reader.name("path_prefix");
    route.method_ = reader.optionalName("method");
    route.labels_ = reader.labels("labels");
    const std::string &prefix = route.pathPrefix_;
    if (!prefix.empty()
        && (prefix.front() != '/' || prefix.find_first_of("?#") != std::string::npos)) {
        reader.addProblem("path_prefix", "must start with / and hold no ? or #");
    }
    if (std::count(prefix.begin(), prefix.end(), '/') > std::ptrdiff_t{ prefixDepthLimit }) {
        reader.addProblem("path_prefix", "must have 32 segments at most");
    }
    for (const char *reserved : { label::workspace, label::method }) {
        if (route.labels_.count(reserved) > 0) {
            reader.addProblem("labels", inQuotes(reserved) + " comes from the request itself");
        }
    }
    if (!rules_->routes_.add(route)) {
        reader.addProblem("path_prefix", inQuotes(prefix) + " is there twice for one method");
    }
    methodRoutes_.insert(MethodLabels{ std::move(route.method_), std::move(route.labels_) });
}

void RulesParser::readService(ObjectReader &reader)
{
    ServiceRules service;
    const std::string name = reader.name("name");
    checkUnique(reader, name);
    service.id_ = ServiceId(name);
    service.floor_ = reader.number("floor", fraction);
    rules_->services_.push_back(std::move(service));
}

void RulesParser::readWorkspace(ObjectReader &reader)
{
    std::string name = reader.name("name");
    const double weight = reader.number("weight", weightRange);
    if (!rules_->workspaceWeights_.emplace(WorkspaceId(name), weight).second && !name.empty()) {
        reader.addProblem("name", inQuotes(name) + " is there twice");
    }
}

void RulesParser::readBackendServer(ObjectReader &reader)
{
    const std::string name = reader.name("name");
    Labels labels = reader.labels("labels");
    const auto drain = labels.find(label::drain);
    if (drain != labels.end() && drain->second != "true" && drain->second != "false") {
        reader.addProblem("labels", "\"drain\" must be \"true\" or \"false\"");
    }
    if (!rules_->serverLabels_.emplace(BackendServerId(name), std::move(labels)).second
        && !name.empty()) {
        reader.addProblem("name", inQuotes(name) + " is there twice");
    }
}

void RulesParser::checkUnique(ObjectReader &reader, const std::string &name)
{
    if (!name.empty() && !names_.insert(name).second) {
        reader.addProblem("name", inQuotes(name) + " is there twice");
    }
}

void RulesParser::checkRanks()
{
    auto &ranks = rules_->ranks_;
    if (ranks.empty()) {
        problems_.add("ranks", "must name at least one rank");
    }
    std::set<int> orders;
    double shares = 0.0;
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        shares += ranks[i].share_;
        if (!orders.insert(ranks[i].order_).second) {
            problems_.add(ElementPath{ "ranks", i }.text("order"),
                          std::to_string(ranks[i].order_) + " is there twice");
        }
    }
    if (shares > 1.0 + shareTolerance) {
        problems_.add("ranks", "the shares add up to more than 1");
    }
    std::stable_sort(ranks.begin(), ranks.end(),
                     [](const Rank &a, const Rank &b) { return a.order_ < b.order_; });
    auto &services = rules_->services_;
    std::sort(services.begin(), services.end(),
              [](const ServiceRules &a, const ServiceRules &b) { return a.id_ < b.id_; });
}

void RulesParser::checkKinds()
{
    auto &ranks = rules_->ranks_;
    for (std::size_t i = 0; i < rules_->kinds_.size(); ++i) {
        const ElementPath path{ "kinds", i };
        WorkKind &kind = rules_->kinds_[i];
        const auto rank = std::find_if(ranks.begin(), ranks.end(), [&](const Rank &known) {
            return known.name_ == rankOfKind_[i];
        });
        if (rank != ranks.end()) {
            kind.rank_ = static_cast<std::size_t>(rank - ranks.begin());
            kind.worth_ = kind.worth_ < 0.0 ? rank->worth_ : kind.worth_;
        } else if (!rankOfKind_[i].empty()) {
            problems_.add(path.text("rank"), "no rank is named " + inQuotes(rankOfKind_[i]));
        }
        const auto &servers = kind.servers_.required();
        const auto service = servers.find(label::service);
        const auto &services = rules_->services_;
        if (service != servers.end()
            && std::none_of(services.begin(), services.end(), [&](const ServiceRules &known) {
                   return known.id_.value() == service->second;
               })) {
            problems_.add(path.text("servers"), "no service is named " + inQuotes(service->second));
        }
        checkReach(i);
    }
}

void RulesParser::checkReach(std::size_t kind)
{
    const auto &kinds = rules_->kinds_;
    const std::string field = ElementPath{ "kinds", kind }.text("selector");
    for (std::size_t earlier = 0; earlier < kind; ++earlier) {
        if (kinds[earlier].selector_.covers(kinds[kind].selector_)) {
            problems_.add(field,
                          "all of its work already belongs to " + inQuotes(kinds[earlier].name_));
            return;
        }
    }
    if (!hasRouteFor(kinds[kind].selector_)) {
        problems_.add(field, "no route puts these labels on work");
    }
}

bool RulesParser::hasRouteFor(const Selector &selector) const
{
    Labels required = selector.required();
    required.erase(label::workspace);
    const auto methodNode = required.extract(label::method);
    if (required.empty()) {
        return true; // Work without a route has these too.
    }
    const Selector byRoute(std::move(required));
    return std::any_of(methodRoutes_.begin(), methodRoutes_.end(), [&](const MethodLabels &route) {
        const bool isMethod =
                methodNode.empty() || route.method_.empty() || route.method_ == methodNode.mapped();
        return isMethod && byRoute.matches(route.labels_);
    });
}

} // namespace qz
