// Typed reading of JSON members.
#include "qz_rules/model/objectreader.h"

#include <algorithm>
#include <sstream>

namespace qz {

namespace {

constexpr std::size_t nameLimitBytes = 256;
constexpr const char *nameProblem = "must be 1 to 256 bytes of text without control characters";

std::string toText(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

std::string rangeText(NumberRange range)
{
    if (range.highest_ == std::numeric_limits<double>::max()) {
        return "a number of at least " + toText(range.lowest_);
    }
    return "a number from " + toText(range.lowest_) + " to " + toText(range.highest_);
}

} // namespace

bool isName(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return !text.empty() && text.size() <= nameLimitBytes
            && std::all_of(text.begin(), text.end(), [](char c) {
                   const auto byte = static_cast<unsigned char>(c);
                   return byte >= firstPrintable && byte != deleteCharacter;
               });
}

std::string ElementPath::text(std::string_view member) const
{
    std::string path = std::string(list_) + "[" + std::to_string(index_) + "]";
    if (!member.empty()) {
        path.append(".").append(member);
    }
    return path;
}

ObjectReader::ObjectReader(const nlohmann::json &object, ElementPath path, ProblemList &problems)
    : object_(object)
    , path_(path)
    , problems_(problems)
{
}

std::string ObjectReader::name(const char *member)
{
    const nlohmann::json *value = require(member);
    return value == nullptr ? std::string() : nameOf(member, *value);
}

std::string ObjectReader::optionalName(const char *member)
{
    const nlohmann::json *value = find(member);
    return value == nullptr ? std::string() : nameOf(member, *value);
}

double ObjectReader::number(const char *member, NumberRange range)
{
    const nlohmann::json *value = require(member);
    return value == nullptr ? range.lowest_ : numberOf(member, *value, range);
}

std::optional<double> ObjectReader::optionalNumber(const char *member, NumberRange range)
{
    const nlohmann::json *value = find(member);
    if (value == nullptr) {
        return std::nullopt;
    }
    return numberOf(member, *value, range);
}

std::int64_t ObjectReader::integer(const char *member, std::int64_t lowest, std::int64_t highest)
{
    const nlohmann::json *value = require(member);
    if (value == nullptr) {
        return lowest;
    }
    // Unsigned values above the signed range wrap to negative ones and are below lowest.
    const std::int64_t number =
            value->is_number_integer() ? value->get<std::int64_t>() : lowest - 1;
    if (number < lowest || number > highest) {
        addProblem(member,
                   "must be a whole number from " + std::to_string(lowest) + " to "
                           + std::to_string(highest));
        return lowest;
    }
    return number;
}

bool ObjectReader::boolean(const char *member)
{
    const nlohmann::json *value = require(member);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_boolean()) {
        addProblem(member, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

Labels ObjectReader::labels(const char *member)
{
    Labels labels;
    const nlohmann::json *value = require(member);
    if (value == nullptr) {
        return labels;
    }
    if (!value->is_object()) {
        addProblem(member, "must be an object of labels");
        return labels;
    }
    for (const auto &label : value->items()) {
        if (!isName(label.key()) || !label.value().is_string()
            || !isName(label.value().get_ref<const std::string &>())) {
            addProblem(member, "label \"" + label.key() + "\": name and value " + nameProblem);
            continue;
        }
        labels.emplace(label.key(), label.value().get<std::string>());
    }
    return labels;
}

void ObjectReader::finish()
{
    if (!object_.is_object() || object_.size() == asked_.size()) {
        return;
    }
    for (const auto &member : object_.items()) {
        if (std::find(asked_.begin(), asked_.end(), member.key()) == asked_.end()) {
            problems_.add(path_.text(member.key()), "is not a known member");
        }
    }
}

void ObjectReader::addProblem(const char *member, std::string message)
{
    problems_.add(path_.text(member), std::move(message));
}

const nlohmann::json *ObjectReader::find(const char *member)
{
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(member);
    if (found == object_.end()) {
        return nullptr;
    }
    asked_.emplace_back(member);
    return &*found;
}

const nlohmann::json *ObjectReader::require(const char *member)
{
    const nlohmann::json *value = find(member);
    if (value == nullptr && object_.is_object()) {
        addProblem(member, "is required");
    }
    return value;
}

std::string ObjectReader::nameOf(const char *member, const nlohmann::json &value)
{
    if (!value.is_string() || !isName(value.get_ref<const std::string &>())) {
        addProblem(member, nameProblem);
        return {};
    }
    return value.get<std::string>();
}

double ObjectReader::numberOf(const char *member, const nlohmann::json &value, NumberRange range)
{
    const double number = value.is_number() ? value.get<double>() : range.lowest_ - 1;
    if (!value.is_number() || number < range.lowest_ || number > range.highest_) {
        addProblem(member, "must be " + rangeText(range));
        return range.lowest_;
    }
    return number;
}

} // namespace qz
