#include "platform/platform_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace {

namespace po = boost::program_options;
using oriole::endpoint;
using oriole::standins::platform_options;

constexpr int usage_error = 2;

po::options_description describe_options() {
    po::options_description options("oriole-platform: simulates the platform's API for tests");
    auto add = options.add_options();
    add("help", "show this text");
    add("listen", po::value<std::string>()->default_value("127.0.0.1:7000"), "ADDRESS:PORT");
    add("list-lag-ms", po::value<int>()->default_value(0),
        "delay until changes to the list of instances are visible");
    add("delay-ms", po::value<int>()->default_value(0), "delay before each request takes effect");
    add("lost-answer-share", po::value<double>()->default_value(0),
        "share of requests that are executed but not answered");
    add("refuse-share", po::value<double>()->default_value(0),
        "share of requests that are refused with status 503");
    add("seed", po::value<std::uint64_t>()->default_value(1),
        "seed of the random choice of affected requests");
    return options;
}

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw po::error("--listen '" + text + "': expected ADDRESS:PORT");
    }
    const int port = std::stoi(text.substr(colon + 1));
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

platform_options read_options(const po::variables_map& arguments) {
    platform_options options;
    options.listen = parse_endpoint(arguments["listen"].as<std::string>());
    options.list_lag = std::chrono::milliseconds(arguments["list-lag-ms"].as<int>());
    options.faults.delay = std::chrono::milliseconds(arguments["delay-ms"].as<int>());
    options.faults.lost_answer_share = arguments["lost-answer-share"].as<double>();
    options.faults.refuse_share = arguments["refuse-share"].as<double>();
    options.faults.seed = arguments["seed"].as<std::uint64_t>();
    return options;
}

int run(int argc, char** argv) {
    const auto description = describe_options();
    po::variables_map arguments;
    po::store(po::parse_command_line(argc, argv, description), arguments);
    if (arguments.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    boost::asio::io_context io(1);
    const auto server = oriole::standins::make_platform_server(io, read_options(arguments));
    std::cout << "listening on " << server->address().str() << std::endl;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "oriole-platform: " << failure.what() << "\n";
        return usage_error;
    }
}
