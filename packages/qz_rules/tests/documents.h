// Rules documents for tests.
#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace qz {

/// The text of a file under examples/rules/.
inline std::string readExample(const std::string &file)
{
    std::ostringstream text;
    text << std::ifstream(std::string(QZ_EXAMPLE_RULES_DIR) + "/" + file).rdbuf();
    return text.str();
}

/// A small valid document that tests change.
inline nlohmann::json exampleDocument()
{
    return nlohmann::json::parse(readExample("red-andina.json"));
}

} // namespace qz
