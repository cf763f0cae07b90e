#include "app/entry_instance.h"
#include "app/settings_reader.h"
#include "base/process_setup.h"
#include "links/listening_socket.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace {

namespace options = boost::program_options;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

options::options_description describe_options() {
    options::options_description known_options(
        "oriolethread, a database proxy with session consistency");
    known_options.add_options()("settings", options::value<std::string>(), "settings file (YAML)");
    known_options.add_options()("check-settings", "check the settings and exit");
    known_options.add_options()("version", "print the version");
    known_options.add_options()("help", "print this help");
    return known_options;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<oriole::app::settings> load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ":1:1: error: the file cannot be read\n";
        return std::nullopt;
    }
    const auto result = oriole::app::read_settings(path, *text);
    for (const auto& found : result.found) {
        std::cerr << oriole::to_string(found) << '\n';
    }
    return result.value;
}

int run(const options::variables_map& arguments,
        const options::options_description& known_options) {
    if (arguments.count("help") != 0) {
        std::cout << known_options;
        return exit_ok;
    }
    if (arguments.count("version") != 0) {
        std::cout << "oriolethread " << ORIOLE_VERSION << '\n';
        return exit_ok;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "--settings FILE is needed\n" << known_options;
        return exit_usage;
    }
    const auto settings = load_settings(arguments["settings"].as<std::string>());
    if (!settings) {
        return exit_usage;
    }
    if (arguments.count("check-settings") != 0) {
        std::cout << "settings are good\n";
        return exit_ok;
    }
    oriole::links::serve_when_addresses_are_free(
        [&settings] { oriole::app::make_entry_instance(*settings)->run(); });
    return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    oriole::prepare_process();
    oriole::hold_stop_signals();
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto known_options = describe_options();
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, known_options), arguments);
    } catch (const options::error& problem) {
        std::cerr << problem.what() << '\n' << known_options;
        return exit_usage;
    }
    try {
        return run(arguments, known_options);
    } catch (const std::exception& problem) {
        LOG(ERROR) << "the instance ends: " << problem.what();
        return exit_failure;
    }
}
