#pragma once

#include "site/site_reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace oriole::site {

/// Loads the configuration files of an example, sorted by file name.
inline std::vector<source_text> example_files(const std::string& example) {
    std::vector<source_text> sources;
    const std::filesystem::path folder = std::filesystem::path(ORIOLE_EXAMPLES) / example;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream file(entry.path());
        sources.push_back(
            {entry.path().filename().string(),
             {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()}});
    }
    std::sort(sources.begin(), sources.end(),
              [](const auto& a, const auto& b) { return a.file < b.file; });
    return sources;
}

} // namespace oriole::site
