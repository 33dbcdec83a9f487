// A rules document as content-addressed sections, so that a small change to a large
// document moves little.
#pragma once

#include "qz_core/errors/error.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace qz {

/// Immutable contents by their hash.
using ObjectHash = std::string;
using ObjectContent = std::shared_ptr<const std::string>;
using RulesObjects = std::map<ObjectHash, ObjectContent>;

/// A rules document cut into sections, with the manifest that lists their hashes in order.
///
/// Each list of the document is cut after elements whose name hashes to a multiple of a
/// constant. So a changed, added or removed element changes one section (two, if it is a
/// cut itself), wherever it stands, and the order of the document is kept.
///
/// Invariant: objects_ holds the manifest and every section that it lists, and nothing else.
/// @see RulesAssembler
class RulesDocument
{
public:
    /// Cuts @p document, which RuleSet::parse() has passed.
    static std::shared_ptr<const RulesDocument> split(const nlohmann::json &document);

    RulesDocument(const RulesDocument &) = delete;
    RulesDocument &operator=(const RulesDocument &) = delete;

    /// The hash of the manifest, which stands for the whole document.
    const ObjectHash &hash() const { return hash_; }
    const RulesObjects &objects() const { return objects_; }

    /// The document as JSON text.
    std::string text() const;

private:
    friend class RulesAssembler;

    /// The sections of one list of the document, in order.
    struct List
    {
        std::string name_;
        std::vector<ObjectHash> sections_;
    };

    RulesDocument() = default;
    void addList(const std::string &name, const nlohmann::json &elements);
    ObjectHash addObject(std::string content);
    void addManifest();
    static Result<std::vector<List>> readManifest(const std::string &manifest);

    std::vector<List> lists_;
    ObjectHash hash_;
    RulesObjects objects_;
};

/// Puts a document together from objects that arrive in any order: the manifest first, then
/// the sections that nobody here has yet.
/// Invariant: only contents that match their hash are taken.
class RulesAssembler
{
public:
    /// @p known are objects at hand, such as those of the version before.
    RulesAssembler(ObjectHash hash, const RulesObjects &known);
    RulesAssembler(const RulesAssembler &) = delete;
    RulesAssembler &operator=(const RulesAssembler &) = delete;

    const ObjectHash &hash() const { return document_->hash_; }

    /// The objects taken so far.
    const RulesObjects &objects() const { return document_->objects_; }

    /// The objects that are still needed; empty when the document is whole.
    const std::set<ObjectHash> &missing() const { return missing_; }

    /// Takes one object. Errors: MalformedReply, the content does not match its hash or is
    /// no manifest.
    Result<void> add(const ObjectHash &hash, std::string content);

    /// The whole document; to be called once, when nothing is missing.
    std::shared_ptr<const RulesDocument> finish();

private:
    Result<void> openManifest();

    std::shared_ptr<RulesDocument> document_;
    RulesObjects known_;
    std::set<ObjectHash> missing_;
};

} // namespace qz
