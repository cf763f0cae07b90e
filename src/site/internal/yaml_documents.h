#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace oriole::site {

/// One YAML document of a file.
struct yaml_document {
    std::size_t first_line = 1; ///< line number in the file, from 1
    std::string text;

    friend bool operator==(const yaml_document&, const yaml_document&) = default;
};

/// Splits a file at its YAML document markers (--- and ...), so that a syntax error in one document
/// does not hide findings in the others. Omits documents that contain only comments and blank
/// lines. Thread-safe.
[[nodiscard]] std::vector<yaml_document> split_documents(const std::string& text);

} // namespace oriole::site
