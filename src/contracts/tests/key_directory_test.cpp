#include "contracts/contracts_module.h"
#include "contracts/key_digest.h"

#include <gtest/gtest.h>

namespace oriole::contracts {
namespace {

class key_directory_test : public testing::Test {
protected:
    key_directory_test() {
        m_accounts.emplace(m_account, client_account{m_account, rate_name{"small"}, 1.0});
        add_service("read-diary", false);
        add_service("sign-off", false);
        add_service("public-menu", true);
        add_key("parents", "k-parents", key_state::granted, {service_name{"read-diary"}});
        add_key("office", "k-office", key_state::granted, {});
        add_key("lost", "k-lost", key_state::withdrawn, {});
    }

    void add_service(const std::string& name, bool open) {
        const service_name id{name};
        m_services.emplace(
            id, service::builder().name(id).database(database_name{"d"}).open_to_all(open).build());
    }

    void add_key(const std::string& name, const std::string& text, key_state state,
                 std::vector<service_name> services, const std::string& account = "taichung") {
        m_keys.emplace(key_name{name}, access_key::builder()
                                           .name(key_name{name})
                                           .account(account_name{account})
                                           .digest(digest_of_key(text))
                                           .state(state)
                                           .services(std::move(services))
                                           .build());
    }

    [[nodiscard]] authorization authorize(std::optional<std::string_view> key,
                                          const std::string& wanted) const {
        return contracts_module::make_key_directory(m_keys, m_accounts, m_services)
            ->authorize(key, service_name{wanted});
    }

    account_name m_account{"taichung"};
    std::map<key_name, access_key> m_keys;
    std::map<account_name, client_account> m_accounts;
    std::map<service_name, service> m_services;
};

// Guards against a request that runs for another account than the one that owns the presented key.
TEST_F(key_directory_test, granted_key_runs_for_its_account) {
    EXPECT_EQ(authorize("k-parents", "read-diary"), authorization(m_account, key_name{"parents"}));
    EXPECT_EQ(authorize("k-office", "sign-off"), authorization(m_account, key_name{"office"}));
}

// Guards against access without a valid key, and against a wrong reason for the refusal.
TEST_F(key_directory_test, invalid_key_is_refused_with_reason) {
    using enum authorization_refusal;
    EXPECT_EQ(authorize(std::nullopt, "read-diary").refusal(), no_key);
    EXPECT_EQ(authorize("k-parent", "read-diary").refusal(), unknown_key);
    EXPECT_EQ(authorize("", "read-diary").refusal(), unknown_key);
    EXPECT_EQ(authorize("k-lost", "read-diary").refusal(), withdrawn_key);
    EXPECT_EQ(authorize("k-parents", "sign-off").refusal(), service_not_granted);
    EXPECT_EQ(authorize("k-parents", "no-such").refusal(), unknown_service);
    EXPECT_EQ(authorize("k-parent", "no-such").refusal(), unknown_key);
}

// Guards against open services that require a key, and against a withdrawn key that is accepted
// there.
TEST_F(key_directory_test, open_service_runs_anonymously_but_checks_a_presented_key) {
    EXPECT_TRUE(authorize(std::nullopt, "public-menu").is_anonymous());
    EXPECT_EQ(authorize("k-parents", "public-menu").account(), m_account);
    EXPECT_EQ(authorize("k-lost", "public-menu").refusal(), authorization_refusal::withdrawn_key);
}

// Guards against a second entry with the same digest that undoes a key's withdrawal, in either
// order.
TEST_F(key_directory_test, withdrawn_key_overrides_granted_duplicate) {
    add_key("a-lost-again", "k-lost", key_state::granted, {});
    add_key("z-lost-again", "k-lost", key_state::granted, {});
    EXPECT_EQ(authorize("k-lost", "read-diary").refusal(), authorization_refusal::withdrawn_key);
}

// Guards against a key that stays valid after its account was removed.
TEST_F(key_directory_test, key_of_absent_account_is_unknown) {
    add_key("orphan", "k-orphan", key_state::granted, {}, "no-such-account");
    EXPECT_EQ(authorize("k-orphan", "read-diary").refusal(), authorization_refusal::unknown_key);
}

} // namespace
} // namespace oriole::contracts
