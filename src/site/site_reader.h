#pragma once

#include "base/types/finding.h"
#include "site/types/located_site.h"

#include <memory>
#include <string>
#include <vector>

namespace oriole::site {

/// The content of a configuration file and its name as shown in findings.
struct source_text {
    std::string file;
    std::string text;

    friend bool operator==(const source_text&, const source_text&) = default;
};

struct read_result {
    located_site site;
    findings found; ///< in order of files and lines

    friend bool operator==(const read_result&, const read_result&) = default;
};

/// Parses configuration objects from text. Thread-safe.
class site_reader {
public:
    virtual ~site_reader() = default;

    /// Parses every file completely and reports all findings together. An object with a finding is
    /// left out of the result's objects, but its source position is kept. Never throws on invalid
    /// input.
    [[nodiscard]] virtual read_result read(const std::vector<source_text>& sources) const = 0;
};

/// Creates a reader of YAML files with one object per document.
[[nodiscard]] std::unique_ptr<site_reader> make_yaml_site_reader();

} // namespace oriole::site
