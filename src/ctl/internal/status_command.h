#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Prints the state of each live instance, and the databases as seen by the first that responds.
class status_command final : public command {
public:
    /// `system` outlives the command.
    explicit status_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "status"; }

    [[nodiscard]] std::string synopsis() const override { return ""; }

    [[nodiscard]] std::string summary() const override {
        return "Shows the state of each live instance.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
