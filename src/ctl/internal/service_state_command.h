#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"
#include "site/types/object_kind.h"

#include <string>
#include <utility>

namespace oriole::ctl {

/// Takes an availability zone or a backend server, depending on `kind`, out of service and brings
/// it back.
class service_state_command final : public command {
public:
    /// `system` outlives the command.
    service_state_command(environment& system, std::string name, site::object_kind kind)
        : m_system(system), m_name(std::move(name)), m_kind(kind) {}

    [[nodiscard]] std::string name() const override { return m_name; }

    [[nodiscard]] std::string synopsis() const override { return "out|in NAME"; }

    [[nodiscard]] std::string summary() const override {
        return "Takes an availability zone or a backend server out of service or brings it back.";
    }

    [[nodiscard]] std::vector<option_schema> options() const override;
    [[nodiscard]] exit_code run(const arguments& args, console& output) override;

private:
    environment& m_system;
    std::string m_name;
    site::object_kind m_kind;
};

} // namespace oriole::ctl
