#include "contracts/internal/digest_key_directory.h"

#include "contracts/key_digest.h"

#include <algorithm>

namespace oriole::contracts {
namespace {

/// Sorts keys by digest. Of several keys with the same digest a withdrawn one comes first and is
/// the one found, so that a second entry cannot undo a withdrawal.
[[nodiscard]] bool sorts_before(const access_key& left, const access_key& right) {
    if (left.digest() != right.digest()) {
        return left.digest() < right.digest();
    }
    return left.state() == key_state::withdrawn && right.state() != key_state::withdrawn;
}

[[nodiscard]] bool is_granted(const access_key& key, const service_name& wanted) {
    const auto& granted = key.services();
    return granted.empty() || std::find(granted.begin(), granted.end(), wanted) != granted.end();
}

[[nodiscard]] authorization check_state(const access_key* key) {
    if (key == nullptr) {
        return authorization{authorization_refusal::unknown_key};
    }
    if (key->state() == key_state::withdrawn) {
        return authorization{authorization_refusal::withdrawn_key};
    }
    return {key->account(), key->name()};
}

} // namespace

digest_key_directory::digest_key_directory(const std::map<key_name, access_key>& keys,
                                           const std::map<account_name, client_account>& accounts,
                                           const std::map<service_name, service>& services) {
    for (const auto& [name, key] : keys) {
        if (accounts.contains(key.account())) {
            m_keys.push_back(key);
        }
    }
    std::stable_sort(m_keys.begin(), m_keys.end(), sorts_before);
    for (const auto& [name, object] : services) {
        m_open_to_all.emplace(name, object.open_to_all());
    }
}

authorization
digest_key_directory::authenticate(std::optional<std::string_view> presented_key) const {
    if (!presented_key) {
        return authorization{authorization_refusal::no_key};
    }
    return check_state(find(*presented_key));
}

authorization digest_key_directory::authorize(std::optional<std::string_view> presented_key,
                                              const service_name& wanted) const {
    const auto service = m_open_to_all.find(wanted);
    const bool exists = service != m_open_to_all.end();
    const bool open = exists && service->second;
    if (!presented_key && open) {
        return authorization::anonymous();
    }
    if (!presented_key) {
        return authorization{authorization_refusal::no_key};
    }
    const access_key* key = find(*presented_key);
    authorization checked = check_state(key);
    if (!checked.granted()) {
        return checked;
    }
    if (!exists) {
        return authorization{authorization_refusal::unknown_service};
    }
    if (!open && !is_granted(*key, wanted)) {
        return authorization{authorization_refusal::service_not_granted};
    }
    return checked;
}

const access_key* digest_key_directory::find(std::string_view presented_key) const {
    const key_digest digest = digest_of_key(presented_key);
    const auto found = std::lower_bound(
        m_keys.begin(), m_keys.end(), digest,
        [](const access_key& key, const key_digest& wanted) { return key.digest() < wanted; });
    if (found == m_keys.end() || !equal_in_constant_time(found->digest(), digest)) {
        return nullptr;
    }
    return &*found;
}

} // namespace oriole::contracts
