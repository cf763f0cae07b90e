#include "site/site_records.h"

#include <sodium.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace oriole::site {
namespace {

using std::chrono::milliseconds;
using field_map = std::map<std::string, field_value>;

struct text_visitor {
    std::string operator()(bool value) const { return value ? "true" : "false"; }

    std::string operator()(double value) const {
        std::array<char, 64> text{};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
        return {text.data(), end};
    }

    std::string operator()(milliseconds value) const {
        const std::int64_t count = value.count();
        if (count != 0 && count % 60'000 == 0) {
            return std::to_string(count / 60'000) + "m";
        }
        if (count != 0 && count % 1000 == 0) {
            return std::to_string(count / 1000) + "s";
        }
        return std::to_string(count) + "ms";
    }

    std::string operator()(const std::string& value) const { return value; }

    std::string operator()(const std::vector<std::string>& value) const {
        std::string text = "[";
        for (const auto& element : value) {
            text += (text.size() > 1 ? ", " : "") + element;
        }
        return text + "]";
    }
};

template <class Name>
std::vector<std::string> to_strings(const std::vector<Name>& names) {
    std::vector<std::string> result;
    result.reserve(names.size());
    for (const auto& name : names) {
        result.push_back(name.str());
    }
    return result;
}

template <class Name>
std::vector<Name> names(const std::vector<std::string>& from) {
    return {from.begin(), from.end()};
}

std::string endpoint_text(const endpoint& value) {
    const bool is_ipv6 = value.address().find(':') != std::string::npos;
    return (is_ipv6 ? "[" + value.address() + "]" : value.address()) + ":" +
           std::to_string(value.port());
}

endpoint to_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[') {
        address = address.substr(1, address.size() - 2);
    }
    return {std::move(address), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

std::string digest_text(const contracts::key_digest& digest) {
    std::array<char, 2 * std::tuple_size_v<contracts::key_digest> + 1> text{};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

contracts::key_digest to_digest(const std::string& text) {
    contracts::key_digest digest{};
    std::size_t length = 0;
    const int failed = sodium_hex2bin(digest.data(), digest.size(), text.data(), text.size(),
                                      nullptr, &length, nullptr);
    if (failed != 0 || length != digest.size()) {
        throw std::out_of_range("the digest is not 64 hexadecimal digits");
    }
    return digest;
}

field_map fields(const zones::region&) {
    return {};
}

field_map fields(const zones::availability_zone& zone) {
    return {{"region", zone.region().str()}, {"state", std::string(to_string(zone.state()))}};
}

field_map fields(const machines::backend_server& server) {
    return {{"zone", server.zone().str()},
            {"address", endpoint_text(server.statement_endpoint())},
            {"control", endpoint_text(server.control_endpoint())},
            {"state", std::string(to_string(server.state()))}};
}

field_map fields(const machines::database& database) {
    return {{"servers", to_strings(database.servers())},
            {"connections", static_cast<double>(database.connections())},
            {"connect_time", database.connect_time()}};
}

field_map fields(const contracts::rate& rate) {
    return {{"per_second", rate.per_second()}, {"burst", rate.burst()}};
}

field_map fields(const contracts::client_account& account) {
    return {{"rate", account.rate().str()}, {"weight", account.weight()}};
}

field_map fields(const contracts::access_key& key) {
    const bool granted = key.state() == contracts::key_state::granted;
    return {{"account", key.account().str()},
            {"digest", digest_text(key.digest())},
            {"state", std::string(granted ? "granted" : "withdrawn")},
            {"services", to_strings(key.services())}};
}

field_map fields(const contracts::service& service) {
    const bool reads = service.access() == contracts::access_mode::read;
    const bool serves = service.when_stale() == contracts::stale_policy::serve;
    field_map result{{"database", service.database().str()},
                     {"access", std::string(reads ? "read" : "write")},
                     {"weight", service.weight()},
                     {"repeatable", service.repeatable()},
                     {"open_to_all", service.open_to_all()},
                     {"deadline", service.deadline()},
                     {"when_stale", std::string(serves ? "serve" : "refuse")},
                     {"stale_after", service.stale_after()}};
    if (service.max_age()) {
        result.emplace("max_age", *service.max_age());
    }
    return result;
}

template <class Map>
void append(object_records& records, object_kind kind, const Map& objects) {
    for (const auto& [name, object] : objects) {
        object_id id{kind, name.str()};
        records.emplace(id, object_record(id, fields(object)));
    }
}

template <class T>
const T& get(const object_record& record, const char* field) {
    return std::get<T>(record.fields().at(field));
}

const std::string& text(const object_record& record, const char* field) {
    return get<std::string>(record, field);
}

service_state state(const object_record& record) {
    return text(record, "state") == "in" ? service_state::in : service_state::out;
}

machines::backend_server to_server(const object_record& record) {
    return machines::backend_server::builder{}
        .name(server_name(record.id().name))
        .zone(zone_name(text(record, "zone")))
        .statement_endpoint(to_endpoint(text(record, "address")))
        .control_endpoint(to_endpoint(text(record, "control")))
        .state(state(record))
        .build();
}

machines::database to_database(const object_record& record) {
    return machines::database::builder{}
        .name(database_name(record.id().name))
        .servers(names<server_name>(get<std::vector<std::string>>(record, "servers")))
        .connections(static_cast<std::uint32_t>(get<double>(record, "connections")))
        .connect_time(get<milliseconds>(record, "connect_time"))
        .build();
}

contracts::access_key to_key(const object_record& record) {
    const bool granted = text(record, "state") == "granted";
    return contracts::access_key::builder{}
        .name(key_name(record.id().name))
        .account(account_name(text(record, "account")))
        .digest(to_digest(text(record, "digest")))
        .state(granted ? contracts::key_state::granted : contracts::key_state::withdrawn)
        .services(names<service_name>(get<std::vector<std::string>>(record, "services")))
        .build();
}

contracts::service to_service(const object_record& record) {
    const bool reads = text(record, "access") == "read";
    const bool serves = text(record, "when_stale") == "serve";
    std::optional<milliseconds> max_age;
    if (record.fields().contains("max_age")) {
        max_age = get<milliseconds>(record, "max_age");
    }
    return contracts::service::builder{}
        .name(service_name(record.id().name))
        .database(database_name(text(record, "database")))
        .access(reads ? contracts::access_mode::read : contracts::access_mode::write)
        .weight(get<double>(record, "weight"))
        .repeatable(get<bool>(record, "repeatable"))
        .max_age(max_age)
        .open_to_all(get<bool>(record, "open_to_all"))
        .deadline(get<milliseconds>(record, "deadline"))
        .when_stale(serves ? contracts::stale_policy::serve : contracts::stale_policy::refuse)
        .stale_after(get<milliseconds>(record, "stale_after"))
        .build();
}

} // namespace

std::string to_text(const field_value& value) {
    return std::visit(text_visitor{}, value);
}

object_records to_records(const site_objects& objects) {
    object_records records;
    append(records, object_kind::region, objects.regions());
    append(records, object_kind::availability_zone, objects.zones());
    append(records, object_kind::backend_server, objects.servers());
    append(records, object_kind::database, objects.databases());
    append(records, object_kind::rate, objects.rates());
    append(records, object_kind::client_account, objects.accounts());
    append(records, object_kind::key, objects.keys());
    append(records, object_kind::service, objects.services());
    return records;
}

void add_record(site_objects::builder& objects, const object_record& record) {
    const std::string& name = record.id().name;
    switch (record.id().kind) {
    case object_kind::region:
        objects.add(zones::region(region_name(name)));
        return;
    case object_kind::availability_zone:
        objects.add(zones::availability_zone(zone_name(name), region_name(text(record, "region")),
                                             state(record)));
        return;
    case object_kind::backend_server:
        objects.add(to_server(record));
        return;
    case object_kind::database:
        objects.add(to_database(record));
        return;
    case object_kind::rate:
        objects.add(contracts::rate(rate_name(name), get<double>(record, "per_second"),
                                    get<double>(record, "burst")));
        return;
    case object_kind::client_account:
        objects.add(contracts::client_account(account_name(name), rate_name(text(record, "rate")),
                                              get<double>(record, "weight")));
        return;
    case object_kind::key:
        objects.add(to_key(record));
        return;
    case object_kind::service:
        objects.add(to_service(record));
        return;
    }
}

site_objects to_site_objects(const object_records& records) {
    site_objects::builder objects;
    for (const auto& [id, record] : records) {
        add_record(objects, record);
    }
    return objects.build();
}

} // namespace oriole::site
