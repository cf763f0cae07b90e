#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Publishes an earlier configuration again.
class revert_command final : public command {
public:
    /// `system` outlives the command.
    explicit revert_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "revert"; }

    [[nodiscard]] std::string synopsis() const override { return "GENERATION"; }

    [[nodiscard]] std::string summary() const override {
        return "Publishes an earlier configuration as a new generation.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
