// Reads and checks a rules document.
#pragma once

#include "qz_rules/model/objectreader.h"
#include "qz_rules/model/problemlist.h"
#include "qz_rules/model/ruleset.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <vector>

namespace qz {

/// Builds a RuleSet from one document. For one use.
///
/// Reports in one go: members that are missing, unknown or of the wrong type or range, and
/// contradictions between them (names given twice, ranks and services that are named but
/// not stated, shares above 1, kinds that no request can reach).
/// @see RuleSet::parse
class RulesParser
{
public:
    static constexpr std::size_t documentLimitBytes = std::size_t{ 64 } * 1024 * 1024;

    RulesParser();
    RulesParser(const RulesParser &) = delete;
    RulesParser &operator=(const RulesParser &) = delete;

    Result<std::shared_ptr<const RuleSet>> parse(std::string_view json);

    /// Reads the JSON text alone. Errors: InvalidRules, with line and column.
    static Result<nlohmann::json> parseText(std::string_view json);

private:
    using ReadElement = void (RulesParser::*)(ObjectReader &);
    struct Section
    {
        const char *name_;
        ReadElement read_;
    };

    /// What routes can put on work.
    struct MethodLabels
    {
        std::string method_;
        Labels labels_;

        friend bool operator<(const MethodLabels &a, const MethodLabels &b)
        {
            return std::tie(a.method_, a.labels_) < std::tie(b.method_, b.labels_);
        }
    };

    void readDocument(const nlohmann::json &document);
    void readSection(const nlohmann::json &document, const Section &section);
    void readRank(ObjectReader &reader);
    void readKind(ObjectReader &reader);
    void readRoute(ObjectReader &reader);
    void readService(ObjectReader &reader);
    void readWorkspace(ObjectReader &reader);
    void readBackendServer(ObjectReader &reader);
    void checkUnique(ObjectReader &reader, const std::string &name);
    void checkRanks();
    void checkKinds();
    void checkReach(std::size_t kind);
    bool hasRouteFor(const Selector &selector) const;

    std::shared_ptr<RuleSet> rules_;
    ProblemList problems_;
    std::unordered_set<std::string> names_; ///< Of the section that is being read.
    std::vector<std::string> rankOfKind_;   ///< As named, one for each kind.
    std::set<MethodLabels> methodRoutes_;
};

} // namespace qz
