#include "app/settings_reader.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <set>

namespace oriole::app {
namespace {

constexpr std::size_t max_traffic_threads = 64;
constexpr std::size_t max_connections_limit = 100'000;
/// Keeps the total number of slots of a hundred zones within the maximum of a share plan.
constexpr std::size_t max_share_slots = 1000;
constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_name_length = 63;
constexpr long max_drain_ms = 600'000;

source_place place_of(const std::string& file, const YAML::Mark& mark) {
    if (mark.is_null()) {
        return {file, 1, 1};
    }
    return {file, static_cast<std::size_t>(mark.line) + 1,
            static_cast<std::size_t>(mark.column) + 1};
}

template <class Number>
std::optional<Number> parse_number(const std::string& text) {
    Number value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

bool is_name(const std::string& text) {
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

/// Parses one settings file and collects all findings instead of stopping at the first.
class reader {
public:
    explicit reader(std::string file) : m_file(std::move(file)) { declare_fields(); }

    [[nodiscard]] settings_result read(const std::string& text) {
        try {
            read_document(YAML::Load(text));
        } catch (const YAML::Exception& error) {
            report(error.mark, "the file is not YAML: " + error.msg);
        }
        settings_result result;
        result.found = std::move(m_found);
        if (!has_errors(result.found)) {
            m_builder.peers(m_peers);
            result.value = m_builder.build();
        }
        return result;
    }

private:
    /// Applies a field's text to the builder. Returns a description of the expected value if the
    /// text is invalid, otherwise nullopt.
    using setter = std::function<std::optional<std::string>(const std::string&)>;

    struct field {
        bool required = false;
        setter set;
        bool list = false; ///< the value is a list; `set` is called for each element
    };

    void declare_fields() {
        declare_name("zone", true, [this](const std::string& v) { m_builder.zone(zone_name{v}); });
        declare_name("instance", false,
                     [this](const std::string& v) { m_builder.instance_prefix(v); });
        declare_endpoint("caller", [this](endpoint v) { m_builder.caller(std::move(v)); });
        declare_endpoint("admin", [this](endpoint v) { m_builder.admin(std::move(v)); });
        declare_endpoint("peer", [this](endpoint v) { m_builder.peer(std::move(v)); });
        declare_endpoint("platform", [this](endpoint v) { m_builder.platform(std::move(v)); });
        declare_peers();
        declare_secret();
        declare_count("traffic_threads", max_traffic_threads,
                      [this](std::size_t v) { m_builder.traffic_threads(v); });
        declare_count("max_connections", max_connections_limit,
                      [this](std::size_t v) { m_builder.max_connections(v); });
        declare_count("share_slots", max_share_slots, [this](std::size_t v) {
            m_builder.share_slots(static_cast<std::uint32_t>(v));
        });
        declare_duration("drain_delay", [this](auto v) { m_builder.drain_delay(v); });
        declare_duration("drain_limit", [this](auto v) { m_builder.drain_limit(v); });
    }

    void declare_name(const std::string& name, bool required,
                      const std::function<void(const std::string&)>& apply) {
        m_fields[name] = {required, [apply](const std::string& text) -> std::optional<std::string> {
                              if (!is_name(text)) {
                                  return "a name of lower-case letters, digits and '-'";
                              }
                              apply(text);
                              return std::nullopt;
                          }};
    }

    void declare_endpoint(const std::string& name, const std::function<void(endpoint)>& apply) {
        m_fields[name] = {true,
                          [this, apply](const std::string& text) -> std::optional<std::string> {
                              const auto parsed = parse_endpoint(text);
                              if (!parsed) {
                                  return "an IP address and a port, as in 127.0.0.1:8080";
                              }
                              if (!m_endpoints.insert(*parsed).second) {
                                  return "an address that no other field has";
                              }
                              apply(*parsed);
                              return std::nullopt;
                          }};
    }

    void declare_peers() {
        m_fields["peers"] = {false,
                             [this](const std::string& text) -> std::optional<std::string> {
                                 const auto parsed = parse_endpoint(text);
                                 if (!parsed) {
                                     return "IP addresses and ports, as in [127.0.0.1:8003]";
                                 }
                                 m_peers.push_back(*parsed);
                                 return std::nullopt;
                             },
                             true};
    }

    void declare_secret() {
        m_fields["peer_secret"] = {true,
                                   [this](const std::string& text) -> std::optional<std::string> {
                                       if (text.size() < min_secret_length) {
                                           return "a secret of at least 16 characters";
                                       }
                                       m_builder.peer_secret(text);
                                       return std::nullopt;
                                   }};
    }

    void declare_count(const std::string& name, std::size_t limit,
                       const std::function<void(std::size_t)>& apply) {
        m_fields[name] = {false,
                          [limit, apply](const std::string& text) -> std::optional<std::string> {
                              const auto parsed = parse_number<std::size_t>(text);
                              if (!parsed || *parsed == 0 || *parsed > limit) {
                                  return "a whole number from 1 to " + std::to_string(limit);
                              }
                              apply(*parsed);
                              return std::nullopt;
                          }};
    }

    void declare_duration(const std::string& name,
                          const std::function<void(std::chrono::milliseconds)>& apply) {
        m_fields[name] = {false, [apply](const std::string& text) -> std::optional<std::string> {
                              const auto parsed = parse_duration(text);
                              if (!parsed) {
                                  return "a time from 0ms to 600s, as in 500ms or 2s";
                              }
                              apply(*parsed);
                              return std::nullopt;
                          }};
    }

    static std::optional<std::chrono::milliseconds> parse_duration(const std::string& text) {
        constexpr long ms_per_second = 1000;
        long factor = ms_per_second;
        std::string digits = text;
        if (digits.ends_with("ms")) {
            factor = 1;
            digits.resize(digits.size() - 2);
        } else if (digits.ends_with("s")) {
            digits.pop_back();
        } else {
            return std::nullopt;
        }
        const auto number = parse_number<long>(digits);
        if (!number || *number < 0 || *number > max_drain_ms / factor) {
            return std::nullopt;
        }
        return std::chrono::milliseconds(*number * factor);
    }

    void read_document(const YAML::Node& root) {
        if (!root.IsMap()) {
            report(root.Mark(), "the settings are not a mapping of fields to values");
            return;
        }
        std::set<std::string> seen;
        for (const auto& item : root) {
            read_field(item.first, item.second, seen);
        }
        for (const auto& [name, declared] : m_fields) {
            if (declared.required && !seen.contains(name)) {
                report(root.Mark(), "field '" + name + "' is missing");
            }
        }
    }

    void read_field(const YAML::Node& key, const YAML::Node& value, std::set<std::string>& seen) {
        if (!key.IsScalar()) {
            report(key.Mark(), "a field's name is plain text");
            return;
        }
        const std::string& name = key.Scalar();
        const auto found = m_fields.find(name);
        if (found == m_fields.end()) {
            report(key.Mark(), "unknown field '" + name + "'; known fields are " + known_fields());
            return;
        }
        if (!seen.insert(name).second) {
            report(key.Mark(), "field '" + name + "' is given twice");
            return;
        }
        if (!found->second.list) {
            read_value(name, found->second, value);
            return;
        }
        if (!value.IsSequence()) {
            report(value.Mark(), "field '" + name + "' takes a list");
            return;
        }
        for (const auto& item : value) {
            read_value(name, found->second, item);
        }
    }

    void read_value(const std::string& name, const field& declared, const YAML::Node& value) {
        if (!value.IsScalar()) {
            report(value.Mark(), "field '" + name + "' takes one value");
            return;
        }
        const auto expected = declared.set(value.Scalar());
        if (expected) {
            report(value.Mark(), "field '" + name + "' takes " + *expected);
        }
    }

    [[nodiscard]] std::string known_fields() const {
        std::string text;
        for (const auto& [name, declared] : m_fields) {
            text += (text.empty() ? "" : ", ") + name;
        }
        return text;
    }

    void report(const YAML::Mark& mark, std::string message) {
        m_found.push_back(
            {place_of(m_file, mark), severity::error, "settings", std::move(message)});
    }

    std::string m_file;
    std::map<std::string, field> m_fields;
    std::set<endpoint> m_endpoints;
    std::vector<endpoint> m_peers;
    settings::builder m_builder;
    findings m_found;
};

} // namespace

settings_result read_settings(const std::string& file, const std::string& text) {
    return reader(file).read(text);
}

} // namespace oriole::app
