#include "site/internal/object_schema.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <utility>

namespace oriole::site {
namespace {

constexpr std::size_t max_name_length =
    63; // the limit of a DNS label, so that names can be used as labels
constexpr std::size_t digest_digits = 64;
constexpr double max_rate = 1e9; // well above the fleet's two-year target of 1.2 million/s
constexpr double min_rate = 0.001;
constexpr double max_connections = 100'000;
constexpr double one_hour_ms = 3'600'000;
constexpr double one_minute_ms = 60'000;
constexpr double one_day_ms = 24 * one_hour_ms;
constexpr unsigned max_port = 65'535;

struct duration_unit {
    std::string_view suffix;
    double milliseconds;
};

// A unit must match the whole text after the digits, so "ms" is never read as "m" or "s".
constexpr std::array duration_units{duration_unit{"ms", 1}, duration_unit{"s", 1000},
                                    duration_unit{"m", one_minute_ms},
                                    duration_unit{"h", one_hour_ms}};

field_schema reference(std::string_view name, object_kind target) {
    field_schema field{.name = name, .type = field_type::reference, .required = true};
    field.target = target;
    return field;
}

field_schema references(std::string_view name, object_kind target, bool required) {
    field_schema field{.name = name, .type = field_type::references, .required = required};
    field.target = target;
    return field;
}

field_schema bounded(std::string_view name, field_type type, double minimum, double maximum,
                     std::string_view default_text = {}) {
    return {.name = name,
            .type = type,
            .required = default_text.empty(),
            .default_text = default_text,
            .minimum = minimum,
            .maximum = maximum};
}

field_schema choice(std::string_view name, std::vector<std::string_view> choices,
                    std::string_view default_text = {}) {
    field_schema field{.name = name,
                       .type = field_type::choice,
                       .required = default_text.empty(),
                       .default_text = default_text};
    field.choices = std::move(choices);
    return field;
}

field_schema plain(std::string_view name, field_type type, std::string_view default_text = {}) {
    return {
        .name = name, .type = type, .required = default_text.empty(), .default_text = default_text};
}

std::vector<field_schema> service_fields() {
    auto max_age = bounded("max_age", field_type::duration, 0, one_day_ms);
    max_age.required = false;
    return {reference("database", object_kind::database),
            choice("access", {"read", "write"}),
            bounded("weight", field_type::number, min_rate, max_rate, "1"),
            plain("repeatable", field_type::flag, "false"),
            max_age,
            plain("open_to_all", field_type::flag, "false"),
            bounded("deadline", field_type::duration, 1, one_hour_ms, "2s"),
            choice("when_stale", {"serve", "refuse"}, "serve"),
            bounded("stale_after", field_type::duration, 100, one_day_ms, "30s")};
}

using schema_table = std::array<std::vector<field_schema>, all_object_kinds.size()>;

schema_table make_table() {
    schema_table table;
    const auto at = [&table](object_kind kind) -> std::vector<field_schema>& {
        return table.at(static_cast<std::size_t>(kind));
    };
    at(object_kind::availability_zone) = {reference("region", object_kind::region),
                                          choice("state", {"in", "out"}, "in")};
    at(object_kind::backend_server) = {
        reference("zone", object_kind::availability_zone), plain("address", field_type::endpoint),
        plain("control", field_type::endpoint), choice("state", {"in", "out"}, "in")};
    at(object_kind::database) = {references("servers", object_kind::backend_server, true),
                                 bounded("connections", field_type::count, 1, max_connections),
                                 bounded("connect_time", field_type::duration, 0, one_minute_ms)};
    at(object_kind::rate) = {bounded("per_second", field_type::number, min_rate, max_rate),
                             bounded("burst", field_type::number, min_rate, max_rate)};
    at(object_kind::client_account) = {
        reference("rate", object_kind::rate),
        bounded("weight", field_type::number, min_rate, max_rate, "1")};
    at(object_kind::key) = {reference("account", object_kind::client_account),
                            plain("digest", field_type::digest),
                            choice("state", {"granted", "withdrawn"}, "granted"),
                            references("services", object_kind::service, false)};
    at(object_kind::service) = service_fields();
    return table;
}

std::string quoted(std::string_view text) {
    std::string result(1, '\'');
    result.append(text);
    result.push_back('\'');
    return result;
}

parsed_value problem(std::string text) {
    return {std::nullopt, std::move(text)};
}

std::string bound_text(const field_schema& field, double value) {
    if (field.type == field_type::duration) {
        return to_text(std::chrono::milliseconds(static_cast<std::int64_t>(value)));
    }
    return to_text(value);
}

std::optional<double> read_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

parsed_value parse_duration(const field_schema& field, std::string_view text) {
    const auto digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto suffix = text.substr(digits);
    const auto amount = read_number(text.substr(0, digits));
    const auto* const unit = std::find_if(duration_units.begin(), duration_units.end(),
                                          [&](const auto& u) { return u.suffix == suffix; });
    if (!amount || unit == duration_units.end()) {
        return problem(quoted(text) + " is not a duration; write a whole number with a unit, for "
                                      "example 500ms, 2s or 5m");
    }
    return bounded_number(field, *amount * unit->milliseconds);
}

parsed_value parse_choice(const field_schema& field, std::string_view text) {
    if (std::find(field.choices.begin(), field.choices.end(), text) != field.choices.end()) {
        return {std::string(text), {}};
    }
    std::string allowed;
    for (const auto option : field.choices) {
        if (!allowed.empty()) {
            allowed += " or ";
        }
        allowed += quoted(option);
    }
    return problem(quoted(text) + " is not allowed; write " + allowed);
}

bool is_ip_address(std::string_view text) {
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
        const std::string inner(text.substr(1, text.size() - 2));
        return inet_pton(AF_INET6, inner.c_str(), buffer.data()) == 1;
    }
    return inet_pton(AF_INET, std::string(text).c_str(), buffer.data()) == 1;
}

parsed_value parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    const auto address = text.substr(0, colon);
    const auto port = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    unsigned number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    const bool port_ok = error == std::errc{} && end == port.data() + port.size() &&
                         port.front() != '0' && number <= max_port;
    if (!port_ok || !is_ip_address(address)) {
        return problem(quoted(text) + " is not an IP address and port; write for example "
                                      "127.0.0.1:7001, with a port from 1 to 65535");
    }
    return {std::string(text), {}};
}

parsed_value parse_digest(std::string_view text) {
    const bool hex = text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (!hex || text.size() != digest_digits) {
        return problem("the digest must be 64 lower-case hexadecimal digits, the BLAKE2b-256 of "
                       "the key; 'oriolectl key grant' makes one");
    }
    return {std::string(text), {}};
}

parsed_value parse_flag(std::string_view text) {
    if (text == "true" || text == "false") {
        return {text == "true", {}};
    }
    return problem(quoted(text) + " is not a flag; write true or false");
}

parsed_value parse_name(std::string_view text) {
    auto wrong = name_problem(text);
    if (!wrong.empty()) {
        return problem(std::move(wrong));
    }
    return {std::string(text), {}};
}

parsed_value parse_number(const field_schema& field, std::string_view text) {
    const auto value = read_number(text);
    if (!value) {
        return problem(quoted(text) + " is not a number; write a number from " +
                       bound_text(field, field.minimum) + " to " +
                       bound_text(field, field.maximum) + ", without a unit");
    }
    return bounded_number(field, *value);
}

} // namespace

const std::vector<field_schema>& schema_of(object_kind kind) {
    static const schema_table table = make_table();
    return table.at(static_cast<std::size_t>(kind));
}

const field_schema* find_field(object_kind kind, std::string_view name) {
    const auto& fields = schema_of(kind);
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const field_schema& f) { return f.name == name; });
    return found == fields.end() ? nullptr : &*found;
}

parsed_value parse_scalar(const field_schema& field, std::string_view text) {
    switch (field.type) {
    case field_type::flag:
        return parse_flag(text);
    case field_type::number:
    case field_type::count:
        return parse_number(field, text);
    case field_type::duration:
        return parse_duration(field, text);
    case field_type::choice:
        return parse_choice(field, text);
    case field_type::endpoint:
        return parse_endpoint(text);
    case field_type::digest:
        return parse_digest(text);
    case field_type::reference:
    case field_type::references:
        return parse_name(text);
    }
    return problem("has an unknown type");
}

parsed_value bounded_number(const field_schema& field, double value) {
    if (!(value >= field.minimum && value <= field.maximum)) {
        return problem(bound_text(field, std::clamp(value, -1e15, 1e15)) +
                       " is out of range; write a value from " + bound_text(field, field.minimum) +
                       " to " + bound_text(field, field.maximum));
    }
    if (field.type == field_type::count && value != std::floor(value)) {
        return problem(to_text(value) + " is not a whole number; write for example " +
                       to_text(std::ceil(value)));
    }
    if (field.type == field_type::duration) {
        return {std::chrono::milliseconds(static_cast<std::int64_t>(value)), {}};
    }
    return {value, {}};
}

std::optional<field_value> default_value(const field_schema& field) {
    if (field.type == field_type::references) {
        return std::vector<std::string>{};
    }
    if (field.default_text.empty()) {
        return std::nullopt;
    }
    return parse_scalar(field, field.default_text).value;
}

std::string name_problem(std::string_view text) {
    if (text.empty()) {
        return "the name is empty; write 1 to 63 lower-case letters, digits and hyphens";
    }
    if (text.size() > max_name_length) {
        return "the name has " + std::to_string(text.size()) +
               " characters; at most 63 are "
               "allowed";
    }
    const bool valid =
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
    if (!valid || text.front() == '-' || text.back() == '-') {
        return quoted(text) + " is not a valid name; use only lower-case letters, digits and "
                              "hyphens, with a letter or digit at both ends";
    }
    return {};
}

} // namespace oriole::site
