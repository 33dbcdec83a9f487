// Cutting and assembling rules documents.
#include "qz_rules/store/rulesdocument.h"

#include "qz_rules/store/sha256.h"

#include <xxhash.h>

#include <cassert>
#include <utility>

namespace qz {

namespace {

constexpr std::uint64_t sectionElements = 256; ///< On average.
constexpr std::size_t sectionElementsLimit = 4096;

std::string textMember(const nlohmann::json &element, const char *member)
{
    const auto found = element.find(member);
    return found != element.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Whether a section ends after @p element; depends on its name alone.
bool endsSection(const nlohmann::json &element)
{
    const std::string key = textMember(element, "name") + textMember(element, "path_prefix")
            + textMember(element, "method");
    return XXH3_64bits(key.data(), key.size()) % sectionElements == 0;
}

} // namespace

std::shared_ptr<const RulesDocument> RulesDocument::split(const nlohmann::json &document)
{
    assert(document.is_object());
    std::shared_ptr<RulesDocument> result(new RulesDocument);
    for (const auto &list : document.items()) {
        result->addList(list.key(), list.value());
    }
    result->addManifest();
    return result;
}

std::string RulesDocument::text() const
{
    std::string text;
    for (const List &list : lists_) {
        text += text.empty() ? "{\n\"" : ",\n\"";
        text += list.name_ + "\": [";
        bool isFirst = true;
        for (const ObjectHash &section : list.sections_) {
            text += isFirst ? "\n" : ",\n";
            text += *objects_.at(section);
            isFirst = false;
        }
        text += "]";
    }
    return text + "\n}\n";
}

void RulesDocument::addList(const std::string &name, const nlohmann::json &elements)
{
    List list{ name, {} };
    std::string section;
    std::size_t count = 0;
    for (const nlohmann::json &element : elements) {
        section += section.empty() ? "" : ",\n";
        section += element.dump();
        ++count;
        if (endsSection(element) || count == sectionElementsLimit) {
            list.sections_.push_back(addObject(std::exchange(section, {})));
            count = 0;
        }
    }
    if (!section.empty()) {
        list.sections_.push_back(addObject(std::move(section)));
    }
    lists_.push_back(std::move(list));
}

ObjectHash RulesDocument::addObject(std::string content)
{
    ObjectHash hash = sha256(content);
    objects_[hash] = std::make_shared<const std::string>(std::move(content));
    return hash;
}

void RulesDocument::addManifest()
{
    nlohmann::json lists = nlohmann::json::array();
    for (const List &list : lists_) {
        lists.push_back({ { "list", list.name_ }, { "sections", list.sections_ } });
    }
    hash_ = addObject(nlohmann::json{ { "lists", std::move(lists) } }.dump());
}

Result<std::vector<RulesDocument::List>> RulesDocument::readManifest(const std::string &manifest)
{
    try {
        std::vector<List> lists;
        const auto json = nlohmann::json::parse(manifest);
        for (const nlohmann::json &list : json.at("lists")) {
            lists.push_back(List{ list.at("list").get<std::string>(),
                                  list.at("sections").get<std::vector<ObjectHash>>() });
        }
        return lists;
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::MalformedReply, std::string("rules manifest: ") + error.what());
    }
}

RulesAssembler::RulesAssembler(ObjectHash hash, const RulesObjects &known)
    : document_(new RulesDocument)
    , known_(known)
{
    missing_.insert(hash);
    document_->hash_ = std::move(hash);
    const auto manifest = known_.find(document_->hash_);
    if (manifest != known_.end()) {
        const auto added = add(manifest->first, *manifest->second);
        assert(added.has_value());
        static_cast<void>(added);
    }
}

Result<void> RulesAssembler::add(const ObjectHash &hash, std::string content)
{
    if (missing_.count(hash) == 0) {
        return success();
    }
    if (sha256(content) != hash) {
        return failure(ErrorKind::MalformedReply, "rules object " + hash + ": wrong content");
    }
    missing_.erase(hash);
    document_->objects_[hash] = std::make_shared<const std::string>(std::move(content));
    return hash == document_->hash_ ? openManifest() : success();
}

std::shared_ptr<const RulesDocument> RulesAssembler::finish()
{
    assert(missing_.empty());
    return std::move(document_);
}

Result<void> RulesAssembler::openManifest()
{
    auto lists = RulesDocument::readManifest(*document_->objects_.at(document_->hash_));
    if (!lists) {
        return lists.error();
    }
    document_->lists_ = std::move(lists.value());
    for (const auto &list : document_->lists_) {
        for (const ObjectHash &section : list.sections_) {
            const auto known = known_.find(section);
            if (known != known_.end()) {
                document_->objects_.insert(*known);
            } else {
                missing_.insert(section);
            }
        }
    }
    return success();
}

} // namespace qz
