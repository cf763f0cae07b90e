#include "fleet/configuration_check.h"

#include <algorithm>
#include <map>
#include <set>

namespace oriole::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A statement waits for a connection for this fraction of its route's latency target at most.
constexpr int wait_divisor = 4;
/// A read of a route with a shorter age needs a proof that is nearly always too old, so that every
/// read goes to the primary.
constexpr milliseconds min_useful_age(100);

std::string in_ms(clock::duration value) {
    return std::to_string(duration_cast<milliseconds>(value).count()) + " ms";
}

/// Collects the findings of one configuration.
class configuration_checker {
public:
    explicit configuration_checker(const configuration& value) : m_value(value) {}

    [[nodiscard]] findings run() {
        if (m_value.routes.empty()) {
            report(severity::warning, "configuration", "has no routes; every caller is refused");
        }
        for (const auto& [database, route] : m_value.routes) {
            check_route("route/" + database, route);
        }
        for (const auto& [name, limits] : m_value.services) {
            check_service(name, limits);
        }
        check_accounts();
        for (const auto& name : m_value.unusable_names) {
            report(severity::error, name,
                   "the name cannot be sent to a server; use no blanks or control characters");
        }
        return std::move(m_found);
    }

private:
    void check_route(const std::string& object, const route& route) {
        if (!m_value.services.contains(route.service)) {
            report(severity::error, object,
                   "names service " + route.service.str() + ", which is not in the configuration");
        }
        if (route.statement_timeout <= clock::duration::zero()) {
            report(severity::error, object, "the time limit of a statement must be above 0");
        } else if (route.latency_target / wait_divisor >= route.statement_timeout) {
            report(severity::warning, object,
                   "a statement may wait " + in_ms(route.latency_target / wait_divisor) +
                       ", a quarter of the latency target, and times out after " +
                       in_ms(route.statement_timeout));
        }
        if (route.latency_target <= clock::duration::zero()) {
            report(severity::warning, object,
                   "without a latency target a statement that has to wait is refused at once");
        }
        if (route.policy == read_policy::newest) {
            if (route.max_age > clock::duration::zero()) {
                report(severity::warning, object,
                       "the maximum age has no effect, because the route reads the newest state");
            }
        } else if (route.max_age < min_useful_age) {
            report(severity::warning, object,
                   "a maximum age of " + in_ms(route.max_age) +
                       " sends every read to the primary; at least " + in_ms(min_useful_age) +
                       " lets replicas answer");
        }
    }

    void check_service(const service_name& name, const service_limits& limits) {
        const auto object = "service/" + name.str();
        if (limits.max_connections < 1) {
            report(severity::error, object, "its servers must accept at least 1 connection");
        }
        if (limits.synchronous_replicas < 0) {
            report(severity::error, object, "the number of synchronous replicas is negative");
        }
        const bool used =
            std::any_of(m_value.routes.begin(), m_value.routes.end(),
                        [&name](const auto& item) { return item.second.service == name; });
        if (!used) {
            report(severity::warning, object, "no route leads to it");
        }
    }

    void check_accounts() {
        std::set<account_name> names;
        std::map<std::string, account_name> owners;
        for (const auto& account : m_value.accounts) {
            const auto object = "account/" + account.name.str();
            if (!names.insert(account.name).second) {
                report(severity::error, object, "is listed twice");
            }
            check_limits(object, account);
            if (account.keys.empty()) {
                report(severity::warning, object, "has no key, so no caller can use it");
            }
            for (const auto& key : account.keys) {
                check_key(object, account, owners.try_emplace(key, account.name).first->second);
            }
        }
    }

    void check_limits(const std::string& object, const account& account) {
        if (account.operations_per_s < 0) {
            report(severity::error, object, "the rate is negative");
        } else if (account.operations_per_s == 0) {
            report(severity::warning, object, "a rate of 0 refuses every operation");
        } else if (account.burst < 1) {
            report(severity::error, object,
                   "a burst below 1 refuses every operation, although the rate is above 0");
        }
    }

    void check_key(const std::string& object, const account& account, const account_name& owner) {
        if (owner != account.name) {
            report(severity::error, object,
                   "one of its keys is also a key of account/" + owner.str() +
                       " and can never identify this account");
        }
    }

    void report(severity level, std::string object, std::string message) {
        finding found;
        found.level = level;
        found.object = std::move(object);
        found.message = std::move(message);
        m_found.push_back(std::move(found));
    }

    const configuration& m_value;
    findings m_found;
};

/// Collects the fields of an object that have changed.
class changed_fields {
public:
    template <class Value>
    void compare(const char* field, const Value& before, const Value& after) {
        if (before == after) {
            return;
        }
        if (!m_text.empty()) {
            m_text += ", ";
        }
        m_text += std::string(field) + " " + text_of(before) + " -> " + text_of(after);
    }

    [[nodiscard]] const std::string& text() const noexcept { return m_text; }

private:
    static std::string text_of(clock::duration value) { return in_ms(value); }

    static std::string text_of(const std::string& value) { return value; }

    static std::string text_of(const service_name& value) { return value.str(); }

    static std::string text_of(bool value) { return value ? "true" : "false"; }

    static std::string text_of(int value) { return std::to_string(value); }

    static std::string text_of(double value) { return std::to_string(value); }

    static std::string text_of(read_policy value) {
        switch (value) {
        case read_policy::newest:
            return "newest";
        case read_policy::bounded_age:
            return "bounded_age";
        case read_policy::own_writes:
            return "own_writes";
        }
        return "unknown";
    }

    std::string m_text;
};

std::string changes_of(const route& before, const route& after) {
    changed_fields fields;
    fields.compare("service", before.service, after.service);
    fields.compare("policy", before.policy, after.policy);
    fields.compare("timeout", before.statement_timeout, after.statement_timeout);
    fields.compare("latency_target", before.latency_target, after.latency_target);
    fields.compare("max_age", before.max_age, after.max_age);
    fields.compare("open_to_all", before.open_to_all, after.open_to_all);
    fields.compare("priority", before.priority, after.priority);
    return fields.text();
}

std::string changes_of(const service_limits& before, const service_limits& after) {
    changed_fields fields;
    fields.compare("max_connections", before.max_connections, after.max_connections);
    fields.compare("synchronous_replicas", before.synchronous_replicas, after.synchronous_replicas);
    return fields.text();
}

std::string changes_of(const account& before, const account& after) {
    changed_fields fields;
    fields.compare("rate", before.operations_per_s, after.operations_per_s);
    fields.compare("burst", before.burst, after.burst);
    const std::set<std::string> old_keys(before.keys.begin(), before.keys.end());
    const std::set<std::string> new_keys(after.keys.begin(), after.keys.end());
    const auto missing_from = [](const auto& keys, const auto& others) {
        return static_cast<int>(std::count_if(keys.begin(), keys.end(), [&others](const auto& key) {
            return !others.contains(key);
        }));
    };
    fields.compare("keys granted", 0, missing_from(new_keys, old_keys));
    fields.compare("keys withdrawn", 0, missing_from(old_keys, new_keys));
    return fields.text();
}

/// Adds the differences between two maps from name to object.
template <class Objects>
void compare_objects(const std::string& kind, const Objects& before, const Objects& after,
                     std::vector<configuration_difference>& out) {
    using change = configuration_difference::change;
    for (const auto& [name, object] : after) {
        const auto old = before.find(name);
        if (old == before.end()) {
            out.push_back({change::added, kind + name, {}});
        } else if (auto detail = changes_of(old->second, object); !detail.empty()) {
            out.push_back({change::changed, kind + name, std::move(detail)});
        }
    }
    for (const auto& [name, object] : before) {
        if (!after.contains(name)) {
            out.push_back({change::removed, kind + name, {}});
        }
    }
}

std::map<std::string, service_limits> services_by_name(const configuration& value) {
    std::map<std::string, service_limits> services;
    for (const auto& [name, limits] : value.services) {
        services.emplace(name.str(), limits);
    }
    return services;
}

std::map<std::string, account> accounts_by_name(const configuration& value) {
    std::map<std::string, account> accounts;
    for (const auto& account : value.accounts) {
        accounts.emplace(account.name.str(), account);
    }
    return accounts;
}

} // namespace

findings check_configuration(const configuration& value) {
    return configuration_checker(value).run();
}

std::vector<configuration_difference> compare_configurations(const configuration& in_force,
                                                             const configuration& next) {
    std::vector<configuration_difference> out;
    compare_objects("account/", accounts_by_name(in_force), accounts_by_name(next), out);
    changed_fields common;
    common.compare("transaction_idle", in_force.transaction_idle, next.transaction_idle);
    if (!common.text().empty()) {
        out.push_back({configuration_difference::change::changed, "configuration", common.text()});
    }
    compare_objects("route/", in_force.routes, next.routes, out);
    compare_objects("service/", services_by_name(in_force), services_by_name(next), out);
    return out;
}

std::string to_string(const configuration_difference& value) {
    static constexpr const char* words[] = {"added", "removed", "changed"};
    std::string text = words[static_cast<int>(value.kind)];
    text += " " + value.object;
    return value.detail.empty() ? text : text + ": " + value.detail;
}

} // namespace oriole::fleet
