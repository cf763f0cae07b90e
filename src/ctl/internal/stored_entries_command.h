#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

#include <string>
#include <utility>

namespace oriole::ctl {

/// Prints all stored usage or audit entries; `name` is "usage" or "audit", which is both the name
/// of the command and the prefix of the stored paths.
class stored_entries_command final : public command {
public:
    /// `system` outlives the command.
    stored_entries_command(environment& system, std::string name)
        : m_system(system), m_name(std::move(name)) {}

    [[nodiscard]] std::string name() const override { return m_name; }

    [[nodiscard]] std::string synopsis() const override { return ""; }

    [[nodiscard]] std::string summary() const override {
        return "Prints the entries that are stored in the platform.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
    std::string m_name;
};

} // namespace oriole::ctl
