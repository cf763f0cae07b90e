#include "faults/fault_proxy.h"

#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace po = boost::program_options;
using oriole::endpoint;

constexpr int usage_error = 2;

po::options_description describe_options() {
    po::options_description options("oriole-faults: TCP proxy that injects faults");
    auto add = options.add_options();
    add("help", "show this text");
    add("listen", po::value<std::string>(), "ADDRESS:PORT of a single route");
    add("target", po::value<std::string>(), "ADDRESS:PORT of a single route");
    add("route", po::value<std::vector<std::string>>()->composing(),
        "LISTEN=TARGET, each ADDRESS:PORT (repeatable)");
    add("control", po::value<std::string>()->default_value("127.0.0.1:7100"),
        "ADDRESS:PORT for GET and PUT /faults");
    return options;
}

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw po::error("'" + text + "': expected ADDRESS:PORT");
    }
    const int port = std::stoi(text.substr(colon + 1));
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::vector<std::pair<endpoint, endpoint>> read_routes(const po::variables_map& arguments) {
    std::vector<std::pair<endpoint, endpoint>> routes;
    if (arguments.count("listen") > 0 && arguments.count("target") > 0) {
        routes.emplace_back(parse_endpoint(arguments["listen"].as<std::string>()),
                            parse_endpoint(arguments["target"].as<std::string>()));
    }
    if (arguments.count("route") > 0) {
        for (const auto& text : arguments["route"].as<std::vector<std::string>>()) {
            const auto separator = text.find('=');
            if (separator == std::string::npos) {
                throw po::error("'" + text + "': expected LISTEN=TARGET");
            }
            routes.emplace_back(parse_endpoint(text.substr(0, separator)),
                                parse_endpoint(text.substr(separator + 1)));
        }
    }
    if (routes.empty()) {
        throw po::error("either --listen and --target or at least one --route is required");
    }
    return routes;
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
    const auto control = oriole::standins::make_fault_control(
        io, parse_endpoint(arguments["control"].as<std::string>()));
    std::vector<std::unique_ptr<oriole::standins::fault_proxy>> proxies;
    for (const auto& [listen, target] : read_routes(arguments)) {
        proxies.push_back(oriole::standins::make_fault_proxy(io, listen, target));
        control->add(*proxies.back());
        std::cout << proxies.back()->address().str() << " to " << target.str() << '\n';
    }
    std::cout << "control on " << control->address().str() << std::endl;
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
        std::cerr << "oriole-faults: " << failure.what() << "\n";
        return usage_error;
    }
}
