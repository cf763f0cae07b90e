#include "contracts/study/study_scenario.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <exception>
#include <iostream>

namespace {

using oriole::contracts::make_scenarios;
using oriole::contracts::run_scenario;
using oriole::contracts::study_result;
using oriole::contracts::study_scenario;
using oriole::contracts::study_size;

constexpr double bytes_target = 1024;

/// The current fleet size of the users, and the target size in two years with a large and a small
/// account.
[[nodiscard]] std::vector<study_size> all_sizes() {
    return {
        {"8", 3, 8, 4, 2'000}, {"490", 4, 490, 150, 150'000}, {"490-small", 4, 490, 150, 2'000}};
}

[[nodiscard]] bool meets_targets(const study_scenario& scenario, const study_result& result) {
    return result.excess <= 0 && result.wrongful_refusal_ratio() <= scenario.target() &&
           result.bytes_per_second <= bytes_target;
}

void print(const study_size& size, const study_scenario& scenario, const study_result& result) {
    std::printf("%-10s %-24s %9.4f%% %8.3f %9.2f %9.0f %9.0f  %s\n", size.name.c_str(),
                scenario.name().c_str(), 100 * result.wrongful_refusal_ratio(), result.excess,
                result.messages_per_second, result.bytes_per_second, result.max_bytes_per_second,
                meets_targets(scenario, result) ? "met" : "missed");
    std::fflush(stdout);
}

/// Whether all scenarios of that size meet their targets.
[[nodiscard]] bool run_size(const study_size& size, std::uint64_t seed) {
    bool all_met = true;
    for (const auto& scenario : make_scenarios(size)) {
        const auto result = run_scenario(size, *scenario, seed);
        print(size, *scenario, result);
        all_met &= meets_targets(*scenario, result);
    }
    return all_met;
}

[[nodiscard]] int run(int argc, char** argv) {
    namespace options = boost::program_options;
    std::string wanted;
    std::uint64_t seed = 1;
    options::options_description described("Measures wrongful refusals of the share policy in "
                                           "simulated time");
    described.add_options()("help", "print this text")(
        "size", options::value(&wanted)->default_value("8"), "8, 490, 490-small or all")(
        "seed", options::value(&seed)->default_value(1), "initialises the random numbers");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, described), given);
    options::notify(given);
    if (given.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    std::printf("%-10s %-24s %10s %8s %9s %9s %9s\n", "instances", "scenario", "wrongful", "excess",
                "msg/s", "B/s mean", "B/s most");
    bool all_met = true;
    for (const auto& size : all_sizes()) {
        if (wanted == "all" || wanted == size.name) {
            all_met &= run_size(size, seed);
        }
    }
    return all_met ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "oriole-share-study: " << failure.what() << "\n";
        return 2;
    }
}
