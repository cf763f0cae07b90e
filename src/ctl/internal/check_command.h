#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Validates configuration files without contacting the platform.
class check_command final : public command {
public:
    /// `system` outlives the command.
    explicit check_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "check"; }

    [[nodiscard]] std::string synopsis() const override { return "FILE..."; }

    [[nodiscard]] std::string summary() const override {
        return "Checks configuration files against one another, without the platform.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
