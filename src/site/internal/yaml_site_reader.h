#pragma once

#include "site/site_reader.h"

namespace oriole::site {

class yaml_site_reader final : public site_reader {
public:
    [[nodiscard]] read_result read(const std::vector<source_text>& sources) const override;
};

} // namespace oriole::site
