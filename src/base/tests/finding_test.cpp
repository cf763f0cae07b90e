#include "base/types/finding.h"

#include <gtest/gtest.h>

namespace oriole {
namespace {

class finding_test : public testing::Test {
protected:
    finding m_error{{"site.yaml", 3, 7}, severity::error, "key/k1", "field 'account' is missing"};
};

// Guards against changing the format of findings, which editors and scripts parse.
TEST_F(finding_test, text_has_place_object_and_message) {
    EXPECT_EQ(to_string(m_error),
              "site.yaml:3:7: error: object key/k1: field 'account' is missing");
}

// Guards against a file's name or content that adds a finding of its own to the output.
TEST_F(finding_test, text_with_line_breaks_is_one_line) {
    m_error.message = "unknown field 'a\nsite.yaml:1:1: error: b\x1b[2J'";
    EXPECT_EQ(to_string(m_error), "site.yaml:3:7: error: object key/k1: unknown field "
                                  "'a\\x0asite.yaml:1:1: error: b\\x1b[2J'");
}

// Guards against treating warnings as errors, which would prevent `apply` from publishing objects.
TEST_F(finding_test, only_warnings_has_no_errors) {
    finding warning = m_error;
    warning.level = severity::warning;
    EXPECT_FALSE(has_errors({warning}));
    EXPECT_TRUE(has_errors({warning, m_error}));
}

} // namespace
} // namespace oriole
