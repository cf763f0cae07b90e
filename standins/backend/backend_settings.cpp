#include "backend_settings.h"

#include "base/errors.h"

#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <iostream>
#include <sstream>
#include <string>

namespace oriole::standins {
namespace {

namespace options = boost::program_options;

constexpr std::uint32_t default_connection_limit = 20;

std::pair<std::string, std::string> split(const std::string& text, char separator) {
    const auto at = text.rfind(separator);
    if (at == std::string::npos) {
        throw invalid_input("'" + text + "': missing separator '" + separator + "'");
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

template <class Number>
Number parse_number(const std::string& text) {
    Number number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        throw invalid_input("'" + text +
                            "' is not an integer from 0 to 65535 (port) or 4294967295 (lag in ms)");
    }
    return number;
}

endpoint parse_endpoint(const std::string& text) {
    const auto [address, port] = split(text, ':');
    boost::system::error_code failure;
    boost::asio::ip::make_address(address, failure);
    if (failure) {
        throw invalid_input("'" + address + "' is not an IP address");
    }
    return {address, parse_number<std::uint16_t>(port)};
}

links::member_address parse_member(const std::string& text) {
    const auto [name, address] = split(text, '=');
    return {server_name(name), parse_endpoint(address)};
}

std::vector<links::member_address> parse_members(const std::string& text) {
    std::vector<links::member_address> members;
    std::istringstream input(text);
    for (std::string item; std::getline(input, item, ',');) {
        members.push_back(parse_member(item));
    }
    return members;
}

lag_range parse_lag(const std::string& text) {
    const auto [min, max] = split(text, ':');
    const lag_range lag{std::chrono::milliseconds(parse_number<std::uint32_t>(min)),
                        std::chrono::milliseconds(parse_number<std::uint32_t>(max))};
    if (lag.max < lag.min) {
        throw invalid_input("--lag-ms " + text + ": minimum exceeds maximum");
    }
    return lag;
}

options::options_description describe_options() {
    options::options_description description(
        "oriole-backend: simulates one backend server for tests");
    auto add = description.add_options();
    const auto text = [] { return options::value<std::string>(); };
    const auto number = [](std::uint64_t value) {
        return options::value<std::uint64_t>()->default_value(value);
    };
    add("help", "show this text");
    add("name", text()->required(), "name of this server");
    add("statement", text()->required(), "ADDRESS:PORT for statements");
    add("control", text()->required(), "ADDRESS:PORT for control and replication");
    add("primary-of-term", options::value<std::uint64_t>(), "start as primary of this term");
    add("members", text(), "NAME=ADDRESS:PORT,... control endpoints of all servers (primary)");
    add("follow", text(), "NAME=ADDRESS:PORT of the primary to follow (replica)");
    add("term", number(0), "term of --follow");
    add("lag-ms", text()->default_value("0:0"), "MIN:MAX delay before a replica applies a batch");
    add("ship-delay-ms", number(0), "delay before a new log entry may be sent to a replica");
    add("seed", number(1), "seed of the random replication lag");
    add("connections", number(default_connection_limit), "limit on statement connections");
    add("connect-ms", number(0), "delay before a new statement connection is served");
    add("service-us", number(0), "service time per statement on one connection");
    return description;
}

void parse_role(const options::variables_map& values, backend_settings& settings) {
    if (values.count("primary-of-term") == values.count("follow")) {
        throw invalid_input("exactly one of --primary-of-term and --follow is required");
    }
    if (values.count("follow") > 0) {
        const auto primary = parse_member(values["follow"].as<std::string>());
        settings.follow = links::follow_request{values["term"].as<std::uint64_t>(), primary};
        return;
    }
    settings.primary_of_term = values["primary-of-term"].as<std::uint64_t>();
    if (values.count("members") == 0) {
        throw invalid_input("--primary-of-term requires --members");
    }
    settings.members = parse_members(values["members"].as<std::string>());
}

backend_settings make_settings(const options::variables_map& values) {
    const auto number = [&values](const char* name) { return values[name].as<std::uint64_t>(); };
    backend_settings settings;
    settings.statement_endpoint = parse_endpoint(values["statement"].as<std::string>());
    settings.control_endpoint = parse_endpoint(values["control"].as<std::string>());
    settings.database.self = server_name(values["name"].as<std::string>());
    settings.database.lag = parse_lag(values["lag-ms"].as<std::string>());
    settings.database.ship_delay = std::chrono::milliseconds(number("ship-delay-ms"));
    settings.database.seed = number("seed");
    settings.connection_limit = static_cast<std::uint32_t>(number("connections"));
    settings.connect_delay = std::chrono::milliseconds(number("connect-ms"));
    settings.service_time = std::chrono::microseconds(number("service-us"));
    parse_role(values, settings);
    return settings;
}

} // namespace

std::optional<backend_settings> parse_settings(int argument_count, const char* const* arguments) {
    const auto description = describe_options();
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argument_count, arguments, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return std::nullopt;
        }
        options::notify(values);
        return make_settings(values);
    } catch (const options::error& failure) {
        throw invalid_input(failure.what());
    }
}

} // namespace oriole::standins
