// Positions of fields, by counting lines under the JSON reader.
#include "qz_rules/model/fieldlocator.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace qz {

namespace {

/// Walks over a text and counts the lines that have been read.
class LineCounter
{
public:
    // The names are those that the standard library asks of an iterator.
    // NOLINTBEGIN(readability-identifier-naming)
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;
    // NOLINTEND(readability-identifier-naming)

    LineCounter(const char *at, std::size_t *line)
        : at_(at)
        , line_(line)
    {
    }

    reference operator*() const { return *at_; }

    LineCounter &operator++()
    {
        *line_ += *at_ == '\n' ? 1 : 0;
        ++at_;
        return *this;
    }

    friend bool operator==(const LineCounter &a, const LineCounter &b) { return a.at_ == b.at_; }
    friend bool operator!=(const LineCounter &a, const LineCounter &b) { return !(a == b); }

private:
    const char *at_;
    std::size_t *line_;
};

/// Notes the line of each member and each list element of a document.
class LineCollector : public nlohmann::json_sax<nlohmann::json>
{
public:
    std::size_t line_ = 1;
    std::map<std::string, std::size_t> lines_;

    bool null() override { return element(); }
    bool boolean(bool) override { return element(); }
    bool number_integer(number_integer_t) override { return element(); }
    bool number_unsigned(number_unsigned_t) override { return element(); }
    bool number_float(number_float_t, const string_t &) override { return element(); }
    bool string(string_t &) override { return element(); }
    bool binary(binary_t &) override { return element(); }
    bool start_object(std::size_t) override { return open(false); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_array() override { return close(); }

    bool key(string_t &name) override
    {
        const std::string &parent = open_.back().path_;
        member_ = parent.empty() ? name : parent + "." + name;
        lines_.emplace(member_, line_);
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    struct Level
    {
        std::string path_;
        bool isList_ = false;
        std::size_t next_ = 0; ///< The index of the next element of a list.
    };

    /// Names the value that begins here.
    bool element()
    {
        if (!open_.empty() && open_.back().isList_) {
            Level &list = open_.back();
            member_ = list.path_ + "[" + std::to_string(list.next_++) + "]";
            lines_.emplace(member_, line_);
        }
        return true;
    }

    bool open(bool isList)
    {
        element();
        open_.push_back(Level{ member_, isList, 0 });
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    std::vector<Level> open_;
    std::string member_; ///< The path of the value that is read next.
};

std::string parentOf(const std::string &field)
{
    const std::size_t end = field.find_last_of(".[");
    return end == std::string::npos ? "" : field.substr(0, end);
}

} // namespace

std::map<std::string, std::size_t> locateFields(std::string_view json,
                                                const std::vector<std::string> &fields)
{
    LineCollector collector;
    const LineCounter begin(json.data(), &collector.line_);
    const LineCounter end(json.data() + json.size(), &collector.line_);
    nlohmann::json::sax_parse(begin, end, &collector);
    std::map<std::string, std::size_t> found;
    for (const std::string &field : fields) {
        for (std::string part = field; !part.empty(); part = parentOf(part)) {
            const auto line = collector.lines_.find(part);
            if (line != collector.lines_.end()) {
                found.emplace(field, line->second);
                break;
            }
        }
    }
    return found;
}

std::string fieldOfProblem(std::string_view problem)
{
    return std::string(problem.substr(0, problem.find(": ")));
}

} // namespace qz
