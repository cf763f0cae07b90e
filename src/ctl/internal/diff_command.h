#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Compares configuration files with the newest published configuration.
class diff_command final : public command {
public:
    /// `system` outlives the command.
    explicit diff_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "diff"; }

    [[nodiscard]] std::string synopsis() const override { return "FILE..."; }

    [[nodiscard]] std::string summary() const override {
        return "Shows what applying the files would change.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
