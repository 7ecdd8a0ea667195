// Random changes to JSON documents, and helpers to check reported faults.
#pragma once

#include <nlohmann/json.hpp>
#include <settings/faultlist.h>

#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace TestSupport {

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

/// "path code message" of each fault, one a line.
inline std::string describe(const Settings::FaultList &faults)
{
    std::string text;
    for (const Settings::Fault &it : faults.faults())
        text += it.path + ' ' + std::string(Base::failureName(it.code)) + ' ' + it.message + '\n';
    return text;
}

/// Applies \a patch, a JSON Patch (RFC 6902) in relaxed quoting: ' stands for ".
inline std::string patched(const nlohmann::json &document, std::string patch)
{
    for (char &c : patch)
        c = c == '\'' ? '"' : c;
    return document.patch(nlohmann::json::parse(patch)).dump();
}

/// \a document with one random value replaced, removed or renamed.
inline nlohmann::json mutated(nlohmann::json document, std::mt19937_64 &random)
{
    static const std::vector<nlohmann::json> VALUES{nullptr,
                                                    true,
                                                    -1,
                                                    0,
                                                    1,
                                                    1.5,
                                                    65536,
                                                    18446744073709551615ULL,
                                                    1e300,
                                                    "",
                                                    "x:y",
                                                    "/~",
                                                    "http://127.0.0.1:0",
                                                    nlohmann::json::array(),
                                                    nlohmann::json::object(),
                                                    nlohmann::json::array({1, "a", "a"})};
    std::vector<std::string> paths;
    const nlohmann::json flat = document.flatten();
    for (const auto &it : flat.items()) {
        // Also the containers above the leaf.
        for (std::string path = it.key(); !path.empty(); path.erase(path.rfind('/')))
            paths.push_back(path);
    }
    if (paths.empty())
        return VALUES[random() % VALUES.size()];
    const std::string path = paths[random() % paths.size()];
    const nlohmann::json::json_pointer pointer(path);
    nlohmann::json &parent = document[pointer.parent_pointer()];
    switch (random() % 3) {
    case 0:
        document[pointer] = VALUES[random() % VALUES.size()];
        break;
    case 1:
        if (parent.is_object())
            parent.erase(pointer.back());
        else
            parent.erase(std::stoul(pointer.back()));
        break;
    default:
        if (parent.is_object())
            parent[pointer.back() + "x"] = document[pointer];
        else
            parent.push_back(nlohmann::json(document[pointer]));
    }
    return document;
}

/// \a text with one byte replaced, removed or cut off after.
inline std::string mutatedText(std::string text, std::mt19937_64 &random)
{
    const std::size_t at = random() % text.size();
    switch (random() % 3) {
    case 0:
        text[at] = static_cast<char>(random());
        break;
    case 1:
        text.erase(at, 1);
        break;
    default:
        text.resize(at);
    }
    return text;
}

} // namespace TestSupport
