#pragma once

#include "base/decision_log.h"

#include <string>
#include <vector>

namespace oriole::entry {

/// Keeps the lines that are written to it. Not thread-safe.
class recording_log final : public decision_log {
public:
    void write(const log_entry& entry) override { m_lines.push_back(entry.text()); }

    void flush() override {}

    [[nodiscard]] std::uint64_t dropped() const override { return 0; }

    [[nodiscard]] const std::vector<std::string>& lines() const { return m_lines; }

private:
    std::vector<std::string> m_lines;
};

} // namespace oriole::entry
