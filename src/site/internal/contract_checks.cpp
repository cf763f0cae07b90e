#include "site/internal/contract_checks.h"

#include "site/types/object_record.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriole::site {
namespace {

using contracts::access_key;
using contracts::access_mode;
using contracts::key_digest;
using contracts::key_state;
using contracts::service;

bool grants_access(const access_key& key, const service& to) {
    if (key.state() != key_state::granted) {
        return false;
    }
    const auto& services = key.services();
    return services.empty() ||
           std::find(services.begin(), services.end(), to.name()) != services.end();
}

class contract_checker {
public:
    contract_checker(const located_site& site, check_report& report)
        : m_objects(site.objects()), m_report(report) {
        for (const auto& [id, place] : site.places()) {
            m_has_invalid_keys =
                m_has_invalid_keys ||
                (id.kind == object_kind::key && !m_objects.keys().contains(key_name(id.name)));
        }
    }

    void check() {
        check_digests();
        for (const auto& [name, service] : m_objects.services()) {
            check_service(service);
        }
        for (const auto& [name, account] : m_objects.accounts()) {
            check_account(account);
        }
        for (const auto& [name, rate] : m_objects.rates()) {
            check_burst(rate);
        }
    }

private:
    void check_digests() {
        std::map<key_digest, const access_key*> owners;
        for (const auto& [name, key] : m_objects.keys()) {
            const auto [owner, added] = owners.emplace(key.digest(), &key);
            if (added) {
                continue;
            }
            const bool same_account = owner->second->account() == key.account();
            m_report.error({object_kind::key, name.str()}, "digest",
                           "the key '" + owner->second->name().str() + "'" +
                               (same_account ? std::string()
                                             : " of the client account '" +
                                                   owner->second->account().str() + "'") +
                               " has the same digest; each key needs a different digest");
        }
    }

    void check_service(const service& value) {
        const object_id id{object_kind::service, value.name().str()};
        if (value.access() == access_mode::write && value.max_age()) {
            m_report.error(id, "max_age",
                           "a service with access write cannot accept old data; remove max_age or "
                           "change access to read");
        }
        const auto& keys = m_objects.keys();
        const bool usable =
            value.open_to_all() || std::any_of(keys.begin(), keys.end(), [&](const auto& k) {
                return grants_access(k.second, value);
            });
        if (!usable && !m_has_invalid_keys) {
            m_report.warning(id, "",
                             "nobody may use the service; list it in a granted key or write "
                             "open_to_all: true");
        }
    }

    void check_account(const contracts::client_account& account) {
        const auto& keys = m_objects.keys();
        const bool granted = std::any_of(keys.begin(), keys.end(), [&](const auto& entry) {
            return entry.second.account() == account.name() &&
                   entry.second.state() == key_state::granted;
        });
        if (!granted && !m_has_invalid_keys) {
            m_report.warning({object_kind::client_account, account.name().str()}, "",
                             "the client account has no granted key and can call nothing; grant "
                             "one with 'oriolectl key grant --account " +
                                 account.name().str() + "'");
        }
    }

    // A request whose weight exceeds the rate's burst is never admitted, because the token bucket
    // never holds enough tokens for it.
    void check_burst(const contracts::rate& rate) {
        const service* heaviest = nullptr;
        for (const auto& [name, value] : m_objects.services()) {
            const bool heavier = heaviest == nullptr || value.weight() > heaviest->weight();
            if (heavier && value.weight() > rate.burst() && is_used_with_rate(rate, value)) {
                heaviest = &value;
            }
        }
        if (heaviest != nullptr) {
            m_report.error({object_kind::rate, rate.name().str()}, "burst",
                           "the burst " + to_text(rate.burst()) + " is below the weight " +
                               to_text(heaviest->weight()) + " of the service '" +
                               heaviest->name().str() +
                               "', so that requests to it are never admitted; write at least " +
                               to_text(heaviest->weight()));
        }
    }

    // A rate that no account uses is checked against every service.
    [[nodiscard]] bool is_used_with_rate(const contracts::rate& rate, const service& value) const {
        std::set<account_name> accounts;
        for (const auto& [name, account] : m_objects.accounts()) {
            if (account.rate() == rate.name()) {
                accounts.insert(name);
            }
        }
        if (accounts.empty() || value.open_to_all()) {
            return true;
        }
        const auto& keys = m_objects.keys();
        return std::any_of(keys.begin(), keys.end(), [&](const auto& entry) {
            return accounts.contains(entry.second.account()) && grants_access(entry.second, value);
        });
    }

    const site_objects& m_objects;
    check_report& m_report;
    bool m_has_invalid_keys = false;
};

} // namespace

void check_contracts(const located_site& site, check_report& report) {
    contract_checker(site, report).check();
}

} // namespace oriole::site
