#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Adds the objects of configuration files to the newest configuration and publishes the result.
class apply_command final : public command {
public:
    /// `system` outlives the command.
    explicit apply_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "apply"; }

    [[nodiscard]] std::string synopsis() const override { return "FILE..."; }

    [[nodiscard]] std::string summary() const override {
        return "Adds or replaces the objects in the files and publishes the whole set.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
