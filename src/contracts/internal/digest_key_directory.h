#pragma once

#include "contracts/key_directory.h"
#include "contracts/types/access_key.h"
#include "contracts/types/client_account.h"
#include "contracts/types/service.h"

#include <map>
#include <vector>

namespace oriole::contracts {

/// Finds access keys by the digest of their text. The presented text is hashed before anything
/// depends on its content, so the time of a lookup reveals nothing that helps to guess a key.
class digest_key_directory final : public key_directory {
public:
    digest_key_directory(const std::map<key_name, access_key>& keys,
                         const std::map<account_name, client_account>& accounts,
                         const std::map<service_name, service>& services);

    [[nodiscard]] authorization
    authenticate(std::optional<std::string_view> presented_key) const override;

    [[nodiscard]] authorization authorize(std::optional<std::string_view> presented_key,
                                          const service_name& wanted) const override;

private:
    [[nodiscard]] const access_key* find(std::string_view presented_key) const;

    std::vector<access_key> m_keys; ///< ordered by digest
    std::map<service_name, bool> m_open_to_all;
};

} // namespace oriole::contracts
