#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"

namespace oriole::ctl {

/// Prints all objects of a configuration, those of one kind, or a single object.
class get_command final : public command {
public:
    /// `system` outlives the command.
    explicit get_command(environment& system) : m_system(system) {}

    [[nodiscard]] std::string name() const override { return "get"; }

    [[nodiscard]] std::string synopsis() const override { return "[KIND[/NAME]]"; }

    [[nodiscard]] std::string summary() const override {
        return "Prints objects of a configuration as YAML that 'check' accepts.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
};

} // namespace oriole::ctl
