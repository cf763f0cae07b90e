#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Lists the accepted generations of the configuration, newest first.
class history_command final : public command {
public:
    /// `system` outlives the command.
    explicit history_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "history"; }

    [[nodiscard]] std::string synopsis() const override { return ""; }

    [[nodiscard]] std::string summary() const override {
        return "Lists the accepted configurations, newest first.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
