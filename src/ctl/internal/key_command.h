#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Grants and withdraws the access keys of client accounts.
class key_command final : public command {
public:
    /// `system` outlives the command.
    explicit key_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "key"; }

    [[nodiscard]] std::string synopsis() const override { return "grant|withdraw [NAME]"; }

    [[nodiscard]] std::string summary() const override {
        return "Grants a new key, which is shown once, or withdraws one.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    [[nodiscard]] exit_code grant(const arguments& args, console& output);
    [[nodiscard]] exit_code withdraw(const arguments& args, console& output);

    environment& m_system;
};

} // namespace oriole::ctl
