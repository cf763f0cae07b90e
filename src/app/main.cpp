#include "app/entry_instance.h"
#include "app/settings_reader.h"
#include "daemon/instance_program.h"

#include <optional>
#include <string>
#include <utility>

namespace {

class http_instance_program final : public oriole::daemon::instance_program {
public:
    std::string description() const override {
        return "oriolethread, a database proxy with session consistency";
    }

    std::string settings_option_help() const override { return "settings file (YAML)"; }

    std::optional<std::string> default_settings_path() const override { return std::nullopt; }

    oriole::findings load_settings(const std::string& path, const std::string& text) override {
        auto result = oriole::app::read_settings(path, text);
        m_settings = std::move(result.value);
        return std::move(result.found);
    }

    void serve() override { oriole::app::make_entry_instance(*m_settings)->run(); }

private:
    std::optional<oriole::app::settings> m_settings;
};

} // namespace

int main(int argc, char** argv) {
    http_instance_program program;
    return oriole::daemon::run_program(argc, argv, program);
}
