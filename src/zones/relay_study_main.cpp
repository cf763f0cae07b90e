#include "zones/internal/relay_simulation.h"
#include "zones/relay_topology.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <iostream>
#include <memory>
#include <string>

namespace {

namespace po = boost::program_options;
using namespace oriole::zones;

constexpr int usage_error_status = 2;
constexpr std::array<std::size_t, 2> instance_counts{8, 490};
constexpr std::array<double, 4> dead_shares{0.0, 0.01, 0.05, 0.2};
constexpr std::size_t gossip_fanout = 6;
constexpr std::size_t tree_arity = 4;
constexpr double percent = 100.0;

/// Runs the simulation `runs` times. Returns the maximum of each measurement, and the mean of
/// the reached share.
relay_simulation_result worst_of(const relay_topology& topology, relay_simulation_case setting,
                                 int runs) {
    relay_simulation_result worst;
    double reached = 0.0;
    for (int i = 0; i < runs; ++i, ++setting.seed) {
        const auto result = simulate_relay(topology, setting);
        worst.messages = std::max(worst.messages, result.messages);
        worst.bytes = std::max(worst.bytes, result.bytes);
        worst.hops = std::max(worst.hops, result.hops);
        worst.timeouts_in_path = std::max(worst.timeouts_in_path, result.timeouts_in_path);
        worst.most_sent_by_one = std::max(worst.most_sent_by_one, result.most_sent_by_one);
        reached += result.reached_share;
    }
    worst.reached_share = reached / runs;
    return worst;
}

void print_row(const std::string& name, const relay_topology& topology,
               const relay_simulation_case& setting, int runs) {
    const auto result = worst_of(topology, setting, runs);
    relay_simulation_case accepting_setting = setting;
    accepting_setting.dead_accept = true;
    const auto accepting_result = worst_of(topology, accepting_setting, runs);
    std::printf("| %zu | %.0f%% | %s | %zu | %zu | %zu | %zu | %zu | %.2f%% | %.2f%% |\n",
                setting.instances, setting.dead_share * percent, name.c_str(), result.messages,
                result.bytes, result.most_sent_by_one, result.hops, result.timeouts_in_path,
                result.reached_share * percent, accepting_result.reached_share * percent);
}

int run(int argc, char** argv) {
    po::options_description options("oriole-relay-study: compares relay topologies");
    auto add = options.add_options();
    add("help", "show this text");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the first run");
    add("runs", po::value<int>()->default_value(20), "runs per row");
    po::variables_map arguments;
    po::store(po::parse_command_line(argc, argv, options), arguments);
    if (arguments.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    const auto flat = make_flat_relay();
    const auto gossip = make_gossip_relay(gossip_fanout);
    const auto tree = make_sibling_tree_relay(tree_arity);
    std::puts("| instances | dead | topology | messages | bytes | most by one | hops | timeouts | "
              "reached | reached, dead accept |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|");
    for (const std::size_t size : instance_counts) {
        for (const double share : dead_shares) {
            const relay_simulation_case setting{size, 2, share, false,
                                                arguments["seed"].as<std::uint64_t>()};
            const int runs = arguments["runs"].as<int>();
            print_row("flat", *flat, setting, runs);
            print_row("gossip, 6", *gossip, setting, runs);
            print_row("sibling tree, 4", *tree, setting, runs);
        }
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "oriole-relay-study: " << failure.what() << "\n";
        return usage_error_status;
    }
}
