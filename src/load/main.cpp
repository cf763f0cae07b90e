#include "load/history_checker.h"
#include "load/load_options_reader.h"
#include "load/load_report.h"
#include "load/load_run.h"

#include <unistd.h>

#include <exception>
#include <fstream>
#include <iostream>

namespace {

using namespace oriole::load;

constexpr int exit_ok = 0;
constexpr int exit_violations = 1;
constexpr int exit_usage = 2;
constexpr int exit_failure = 3;

void print_violations(const std::vector<violation>& violations) {
    for (const auto& found : violations) {
        std::cerr << "violation: " << found.property << ": " << found.detail << '\n';
        for (const auto& request : found.requests) {
            std::cerr << "    " << request << '\n';
        }
    }
}

int run_load(const load_options& options) {
    const bool terminal = isatty(STDERR_FILENO) == 1;
    const auto result = make_load_run(options)->run(terminal);
    const auto checker = make_history_checker();
    // Direct reads at replicas carry no session token and have no guarantee, so a history of direct
    // load is not checked.
    const bool is_checked = !options.targets.empty();
    const auto properties = is_checked ? checker->properties() : std::vector<std::string>{};
    const auto violations = is_checked ? checker->check(result.history) : std::vector<violation>{};
    print_violations(violations);
    const std::string report = make_load_report(result, properties, violations);
    if (options.report_file.empty()) {
        std::cout << report << '\n';
    } else {
        std::ofstream(options.report_file) << report << '\n';
    }
    if (!options.records_file.empty()) {
        std::ofstream file(options.records_file);
        write_records(file, result.history);
    }
    return violations.empty() ? exit_ok : exit_violations;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto options = read_load_options({argv + 1, argv + argc});
        if (!options) {
            std::cout << load_options_help();
            return exit_ok;
        }
        return run_load(*options);
    } catch (const usage_error& problem) {
        std::cerr << "oriole-load: " << problem.what() << '\n';
        return exit_usage;
    } catch (const std::exception& failure) {
        std::cerr << "oriole-load: " << failure.what() << '\n';
        return exit_failure;
    }
}
