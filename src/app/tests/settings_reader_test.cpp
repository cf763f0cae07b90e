#include "app/settings_reader.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::app {
namespace {

class settings_reader_test : public testing::Test {
protected:
    [[nodiscard]] static bool has_finding(const settings_result& result, std::size_t line,
                                          const std::string& part) {
        return std::any_of(result.found.begin(), result.found.end(), [&](const finding& f) {
            return f.place.line == line && f.message.find(part) != std::string::npos;
        });
    }

    std::string m_valid = "zone: a\n"
                          "caller: 127.0.0.1:8001\n"
                          "admin: 127.0.0.1:8002\n"
                          "peer: 127.0.0.1:8003\n"
                          "platform: 127.0.0.1:8004\n"
                          "peer_secret: 0123456789abcdef\n"
                          "peers: [127.0.0.1:9003]\n"
                          "drain_delay: 500ms\n";
};

TEST_F(settings_reader_test, complete_file_is_read) {
    const auto result = read_settings("s.yaml", m_valid);
    ASSERT_TRUE(result.value.has_value());
    EXPECT_EQ(result.value->caller(), endpoint("127.0.0.1", 8001));
    EXPECT_EQ(result.value->peers(), std::vector{endpoint("127.0.0.1", 9003)});
    EXPECT_EQ(result.value->drain_delay(), std::chrono::milliseconds(500));
}

// Guards against a reader that stops at the first error or reports a wrong line.
TEST_F(settings_reader_test, several_errors_are_reported_together_with_their_lines) {
    const auto result = read_settings("s.yaml", "zone: A B\n"
                                                "caller: 127.0.0.1:8001\n"
                                                "admin: 127.0.0.1:8001\n"
                                                "peer: localhost:1\n"
                                                "platfrom: 127.0.0.1:8004\n"
                                                "peer_secret: short\n"
                                                "traffic_threads: 0\n");
    EXPECT_FALSE(result.value.has_value());
    EXPECT_TRUE(has_finding(result, 1, "'zone' takes"));
    EXPECT_TRUE(has_finding(result, 3, "no other field"));
    EXPECT_TRUE(has_finding(result, 4, "IP address"));
    EXPECT_TRUE(has_finding(result, 5, "unknown field 'platfrom'"));
    EXPECT_TRUE(has_finding(result, 1, "'platform' is missing"));
    EXPECT_TRUE(has_finding(result, 6, "at least 16"));
    EXPECT_TRUE(has_finding(result, 7, "1 to 64"));
}

// Guards against exceptions of the YAML library that are not caught.
TEST_F(settings_reader_test, broken_yaml_is_a_finding) {
    const auto result = read_settings("s.yaml", m_valid + "x: [1\n");
    ASSERT_FALSE(result.found.empty());
    EXPECT_FALSE(result.value.has_value());
}

// Guards against printing a secret in a finding.
TEST_F(settings_reader_test, short_secret_is_not_echoed) {
    const auto result = read_settings("s.yaml", "peer_secret: tellnobody\n");
    for (const auto& item : result.found) {
        EXPECT_EQ(item.message.find("tellnobody"), std::string::npos);
    }
}

} // namespace
} // namespace oriole::app
