#include "load/load_options_reader.h"

#include "load/traffic_profile.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace oriole::load {
namespace {

namespace po = boost::program_options;

constexpr double milliseconds_per_second = 1000;

po::options_description describe_options() {
    po::options_description options("oriole-load: open-loop load generator and history checker");
    auto add = options.add_options();
    add("help", "show this text");
    add("targets", po::value<std::string>(), "instances: ADDRESS:PORT,...");
    add("rate", po::value<double>()->default_value(1000), "requests per second");
    add("seconds", po::value<double>()->default_value(10), "length of the load");
    add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the schedule");
    add("accounts", po::value<std::string>()->default_value("acme=acme-key:1"),
        "NAME=KEY:SHARE,...");
    add("limit", po::value<std::vector<std::string>>()->composing(),
        "NAME=RATE:BURST; the account's rate limit, to be checked (repeatable)");
    add("key-ends", po::value<std::vector<std::string>>()->composing(),
        "NAME=MS; requests sent later must not run, 0: the key is unknown (repeatable)");
    add("service-read", po::value<std::string>()->default_value("db-1-read"), "service for reads");
    add("service-recent", po::value<std::string>()->default_value("db-1-recent"),
        "service for reads that accept older data");
    add("service-write", po::value<std::string>()->default_value("db-1-write"),
        "service for writes");
    add("read-share", po::value<double>()->default_value(0.9), "share of reads");
    add("sessions", po::value<std::size_t>()->default_value(64), "sessions of all accounts");
    add("roam", po::bool_switch(), "sessions change the instance at each request");
    add("profile", po::value<std::string>()->default_value("plain"),
        "stillwasser, little-sprout or plain");
    add("deadline-ms", po::value<int>()->default_value(5000), "deadline of each request");
    add("direct-primary", po::value<std::string>(),
        "no instances: statement address of the primary");
    add("direct-replicas", po::value<std::string>(), "statement addresses of the replicas");
    add("direct-confirm", po::value<std::string>(), "control addresses of the replicas");
    add("direct-term", po::value<std::uint64_t>()->default_value(1), "term of the primary");
    add("out", po::value<std::string>()->default_value(""), "FILE.json for the report");
    add("record", po::value<std::string>()->default_value(""), "FILE for one line per request");
    return options;
}

std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

/// Splits "LEFT<separator>RIGHT" at the last separator. Throws usage_error naming `form` if a part
/// is empty.
std::pair<std::string, std::string> split_at_last(const std::string& text, char separator,
                                                  const std::string& form) {
    const auto at = text.rfind(separator);
    if (at == std::string::npos || at == 0 || at + 1 == text.size()) {
        throw usage_error("'" + text + "': expected " + form);
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

double to_number(const std::string& text) {
    std::size_t read = 0;
    double number = -1;
    try {
        number = std::stod(text, &read);
    } catch (const std::logic_error&) {
        read = 0;
    }
    if (read == 0 || read != text.size() || number < 0) {
        throw usage_error("'" + text + "': expected a number that is not negative");
    }
    return number;
}

endpoint to_endpoint(const std::string& text) {
    constexpr double highest_port = 65535;
    const auto [address, port] = split_at_last(text, ':', "ADDRESS:PORT");
    const double number = to_number(port);
    if (number > highest_port) {
        throw usage_error("'" + text + "': the port is above 65535");
    }
    return {address, static_cast<std::uint16_t>(number)};
}

std::vector<endpoint> to_endpoints(const po::variables_map& values, const std::string& name) {
    std::vector<endpoint> list;
    if (values.count(name) > 0) {
        for (const auto& item : split(values[name].as<std::string>(), ',')) {
            list.push_back(to_endpoint(item));
        }
    }
    return list;
}

std::vector<load_account> to_accounts(const std::string& text) {
    std::vector<load_account> accounts;
    for (const auto& item : split(text, ',')) {
        const auto [left, share] = split_at_last(item, ':', "NAME=KEY:SHARE");
        const auto [name, key] = split_at_last(left, '=', "NAME=KEY:SHARE");
        accounts.push_back({name, key, to_number(share), {}});
    }
    return accounts;
}

load_account& find_account(load_options& options, const std::string& name) {
    const auto found = std::find_if(options.accounts.begin(), options.accounts.end(),
                                    [&name](const auto& item) { return item.name == name; });
    if (found == options.accounts.end()) {
        throw usage_error("account '" + name + "' is not among --accounts");
    }
    return *found;
}

std::vector<std::string> repeated_option(const po::variables_map& values, const std::string& name) {
    return values.count(name) > 0 ? values[name].as<std::vector<std::string>>()
                                  : std::vector<std::string>{};
}

void read_account_constraints(const po::variables_map& values, load_options& options) {
    for (const auto& item : repeated_option(values, "limit")) {
        const auto [name, limit] = split_at_last(item, '=', "NAME=RATE:BURST");
        const auto [rate, burst] = split_at_last(limit, ':', "NAME=RATE:BURST");
        find_account(options, name).constraints.limit =
            rate_limit{to_number(rate), to_number(burst)};
    }
    for (const auto& item : repeated_option(values, "key-ends")) {
        const auto [name, time] = split_at_last(item, '=', "NAME=MS");
        find_account(options, name).constraints.key_ends =
            std::chrono::milliseconds(static_cast<std::int64_t>(to_number(time)));
    }
}

void read_targets(const po::variables_map& values, load_options& options) {
    options.targets = to_endpoints(values, "targets");
    if (values.count("direct-primary") > 0) {
        options.direct = {to_endpoint(values["direct-primary"].as<std::string>()),
                          to_endpoints(values, "direct-replicas"),
                          to_endpoints(values, "direct-confirm"),
                          values["direct-term"].as<std::uint64_t>()};
    }
    const bool direct = !options.direct.replicas.empty() && !options.direct.confirm.empty();
    if (options.targets.empty() && !direct) {
        throw usage_error("--targets, or --direct-primary, --direct-replicas and "
                          "--direct-confirm, are needed");
    }
}

load_options to_options(const po::variables_map& values) {
    load_options options;
    read_targets(values, options);
    options.accounts = to_accounts(values["accounts"].as<std::string>());
    read_account_constraints(values, options);
    options.services = {values["service-read"].as<std::string>(),
                        values["service-recent"].as<std::string>(),
                        values["service-write"].as<std::string>()};
    options.rate = values["rate"].as<double>();
    options.duration = std::chrono::milliseconds(
        static_cast<std::int64_t>(values["seconds"].as<double>() * milliseconds_per_second));
    options.seed = values["seed"].as<std::uint64_t>();
    options.read_share = values["read-share"].as<double>();
    options.sessions = values["sessions"].as<std::size_t>();
    options.roam = values["roam"].as<bool>();
    options.profile = values["profile"].as<std::string>();
    options.deadline = std::chrono::milliseconds(values["deadline-ms"].as<int>());
    options.report_file = values["out"].as<std::string>();
    options.records_file = values["record"].as<std::string>();
    if (options.accounts.empty() || options.rate <= 0 || options.sessions == 0) {
        throw usage_error("--accounts must name an account; --rate and --sessions must be above 0");
    }
    if (!make_traffic_profile(options.profile, options.read_share)) {
        throw usage_error("--profile '" + options.profile +
                          "': expected stillwasser, little-sprout or plain");
    }
    return options;
}

} // namespace

std::optional<load_options> read_load_options(const std::vector<std::string>& arguments) {
    const auto known_options = describe_options();
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments).options(known_options).run(), values);
    } catch (const po::error& problem) {
        throw usage_error(problem.what());
    }
    if (values.count("help") > 0) {
        return std::nullopt;
    }
    return to_options(values);
}

std::string load_options_help() {
    std::ostringstream out;
    out << describe_options();
    return out.str();
}

} // namespace oriole::load
