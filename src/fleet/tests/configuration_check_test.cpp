#include "fleet/configuration_check.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

class configuration_check_test : public testing::Test {
protected:
    configuration_check_test() {
        m_config.version = 7;
        route route;
        route.database = "books";
        route.service = service_name("db");
        route.policy = read_policy::bounded_age;
        route.statement_timeout = 2s;
        route.latency_target = 500ms;
        route.max_age = 1500ms;
        m_config.routes["books"] = route;
        m_config.services[service_name("db")] = {21, 0};
        m_config.accounts.push_back({account_name("a"), {"key-a"}, 100, 50});
    }

    /// The findings as "error|warning OBJECT", sorted.
    [[nodiscard]] std::vector<std::string> found() const {
        std::vector<std::string> out;
        for (const auto& item : check_configuration(m_config)) {
            out.push_back((item.level == severity::error ? "error " : "warning ") + item.object);
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    /// The differences to the changed configuration, as text.
    [[nodiscard]] std::vector<std::string> differences_to(const configuration& next) const {
        std::vector<std::string> out;
        for (const auto& item : compare_configurations(m_config, next)) {
            out.push_back(to_string(item));
        }
        return out;
    }

    configuration m_config;
};

using texts = std::vector<std::string>;

// Guards against findings that make operators ignore the check.
TEST_F(configuration_check_test, valid_configuration_has_no_findings) {
    EXPECT_EQ(found(), texts{});
}

// Guards against a route whose statements no server can run.
TEST_F(configuration_check_test, route_to_a_missing_service_is_an_error) {
    m_config.routes["books"].service = service_name("other");
    EXPECT_EQ(found(), (texts{"error route/books", "warning service/db"}));
}

// Guards against a key that identifies another account than the one that lists it.
TEST_F(configuration_check_test, key_of_two_accounts_is_an_error_at_the_second) {
    m_config.accounts.push_back({account_name("b"), {"key-a"}, 100, 50});
    EXPECT_EQ(found(), texts{"error account/b"});
}

// Guards against an account without service although it has a rate.
TEST_F(configuration_check_test, burst_below_one_operation_is_an_error) {
    m_config.accounts.front().burst = 0.5;
    EXPECT_EQ(found(), texts{"error account/a"});
    m_config.accounts.front().operations_per_s = 0;
    EXPECT_EQ(found(), texts{"warning account/a"});
}

// Guards against limits of a route that contradict each other.
TEST_F(configuration_check_test, contradicting_limits_of_a_route_are_found) {
    auto& route = m_config.routes["books"];
    route.statement_timeout = 100ms;
    EXPECT_EQ(found(), texts{"warning route/books"});
    route.statement_timeout = 0ms;
    EXPECT_EQ(found(), texts{"error route/books"});
}

// Guards against an age limit that has no effect, or that no replica can meet.
TEST_F(configuration_check_test, useless_age_limit_of_a_route_is_a_warning) {
    auto& route = m_config.routes["books"];
    route.max_age = 40ms;
    EXPECT_EQ(found(), texts{"warning route/books"});
    route.policy = read_policy::newest;
    EXPECT_EQ(found(), texts{"warning route/books"});
}

// Guards against differences that are shown for the wrong object or not at all.
TEST_F(configuration_check_test, differences_name_object_and_fields) {
    auto next = m_config;
    next.routes["books"].max_age = 2s;
    next.routes["new"] = m_config.routes["books"];
    next.services.clear();
    EXPECT_EQ(differences_to(next), (texts{"changed route/books: max_age 1500 ms -> 2000 ms",
                                           "added route/new", "removed service/db"}));
    EXPECT_EQ(differences_to(m_config), texts{});
}

// Guards against printing API keys.
TEST_F(configuration_check_test, differences_count_keys_without_showing_them) {
    auto next = m_config;
    next.accounts.front().keys = {"key-b", "key-c"};
    EXPECT_EQ(differences_to(next),
              texts{"changed account/a: keys granted 0 -> 2, keys withdrawn 0 -> 1"});
}

} // namespace
} // namespace oriole::fleet
