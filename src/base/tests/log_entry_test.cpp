#include "base/types/log_entry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace oriole {
namespace {

class log_entry_test : public testing::Test {
protected:
    static std::string line_with(const std::string& value) {
        return log_entry("session_refused").add("database", value).add("reason", "denied").text();
    }

    /// Splits a line into its fields as a reader of the log does: at blanks outside quotes.
    static std::vector<std::string> fields_of(const std::string& line) {
        std::vector<std::string> fields(1);
        bool quoted = false;
        for (std::size_t i = 0; i < line.size(); ++i) {
            if (line[i] == ' ' && !quoted) {
                fields.emplace_back();
                continue;
            }
            quoted = line[i] == '"' ? !quoted : quoted;
            fields.back() += line[i];
            if (line[i] == '\\' && i + 1 < line.size()) {
                fields.back() += line[++i];
            }
        }
        return fields;
    }
};

// Guards against a caller's database name that forges a line or a field of the log.
TEST_F(log_entry_test, value_with_line_breaks_blanks_and_quotes_stays_one_field) {
    EXPECT_EQ(line_with("a\nevent=stop b=\"c\\"),
              "event=session_refused database=\"a\\x0aevent=stop b=\\\"c\\\\\" reason=denied");
    EXPECT_EQ(line_with(""), "event=session_refused database=\"\" reason=denied");
    EXPECT_EQ(line_with("books"), "event=session_refused database=books reason=denied");
}

// Guards against control characters that stand unquoted, at some of which readers end a line, and
// against bytes that are not UTF-8, at which a reader of the whole log may fail.
TEST_F(log_entry_test, value_with_control_characters_or_other_bytes_is_escaped) {
    EXPECT_EQ(line_with("a\x0b"
                        "b"),
              "event=session_refused database=\"a\\x0bb\" reason=denied");
    EXPECT_EQ(line_with("\x1b[2J\x7f\x85\xff"),
              "event=session_refused database=\"\\x1b[2J\\x7f\\x85\\xff\" reason=denied");
}

// Guards against a caller's database name that fills the log's buffer, so that lines of others are
// dropped.
TEST_F(log_entry_test, long_value_is_cut) {
    const auto line = line_with(std::string(1'000'000, '\n'));
    EXPECT_LT(line.size(), 10'000U);
    EXPECT_TRUE(line.ends_with("\\x0a...\" reason=denied"));
    const std::string longest(log_entry::max_value_bytes, 'x');
    EXPECT_EQ(line_with(longest), "event=session_refused database=" + longest + " reason=denied");
}

// Guards against a value for which a line of the log cannot be split into its fields.
RC_GTEST_FIXTURE_PROP(log_entry_test, any_value_is_one_field_of_printable_characters,
                      (const std::string& value)) {
    const auto line = line_with(value);
    RC_ASSERT(std::all_of(line.begin(), line.end(),
                          [](char next) { return next >= ' ' && next < '\x7f'; }));
    const auto fields = fields_of(line);
    RC_ASSERT(fields.size() == 3U);
    RC_ASSERT(fields.front() == "event=session_refused");
    RC_ASSERT(fields.back() == "reason=denied");
}

} // namespace
} // namespace oriole
