#include "daemon/instance_program.h"

#include "base/process_setup.h"
#include "links/listening_socket.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace oriole::daemon {
namespace {

namespace options = boost::program_options;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

options::options_description make_known_options(const instance_program& program) {
    options::options_description known_options(program.description());
    known_options.add_options()("settings", options::value<std::string>(),
                                program.settings_option_help().c_str());
    known_options.add_options()("check-settings", "check the settings and exit");
    known_options.add_options()("version", "print the version");
    known_options.add_options()("help", "print this help");
    return known_options;
}

std::optional<std::string> settings_path(const options::variables_map& arguments,
                                         const instance_program& program) {
    if (arguments.count("settings") != 0) {
        return arguments["settings"].as<std::string>();
    }
    return program.default_settings_path();
}

/// Prints all findings; returns whether the settings are valid.
bool load_settings(const std::string& path, instance_program& program) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ":1:1: error: cannot open the settings file\n";
        return false;
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto found = program.load_settings(path, text);
    for (const auto& item : found) {
        std::cerr << to_string(item) << '\n';
    }
    return !has_errors(found);
}

int run(const options::variables_map& arguments, const options::options_description& known_options,
        instance_program& program) {
    if (arguments.count("help") != 0) {
        std::cout << known_options;
        return exit_ok;
    }
    if (arguments.count("version") != 0) {
        std::cout << "oriolethread " << ORIOLE_VERSION << '\n';
        return exit_ok;
    }
    const auto path = settings_path(arguments, program);
    if (!path) {
        std::cerr << "no settings file given; use --settings FILE\n" << known_options;
        return exit_usage;
    }
    if (!load_settings(*path, program)) {
        return exit_usage;
    }
    if (arguments.count("check-settings") != 0) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    links::serve_when_addresses_are_free([&program] { program.serve(); });
    return exit_ok;
}

} // namespace

int run_program(int argc, char** argv, instance_program& program) {
    prepare_process();
    hold_stop_signals();
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const auto known_options = make_known_options(program);
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, known_options), arguments);
    } catch (const options::error& failure) {
        std::cerr << failure.what() << '\n' << known_options;
        return exit_usage;
    }
    try {
        return run(arguments, known_options, program);
    } catch (const std::exception& failure) {
        LOG(ERROR) << "instance stopped by an error: " << failure.what();
        return exit_failure;
    }
}

} // namespace oriole::daemon
