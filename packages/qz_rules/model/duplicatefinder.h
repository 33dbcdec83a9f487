// Finds members that one JSON object has twice.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// Reads a JSON text for members that an object has twice, of which JSON readers keep just
/// one and say nothing. An event handler, because the reader's own callback costs time by
/// the square of a list's length.
class DuplicateFinder : public nlohmann::json_sax<nlohmann::json>
{
public:
    /// The first such member of @p json; empty if there is none, or no valid JSON.
    static std::string find(std::string_view json);

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override;
    bool key(string_t &name) override;
    bool end_object() override;
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    std::vector<std::vector<std::string>> open_; ///< The members so far of each open object.
    std::size_t depth_ = 0;                      ///< Objects that are open.
    std::string duplicate_;
};

} // namespace qz
