#include "app/internal/unfinished_request.h"

#include <gtest/gtest.h>

namespace oriole::app {
namespace {

using links::answer_code;
using links::caller_call;

class unfinished_request_test : public testing::Test {
protected:
    static void expect(caller_call call, bool writes, answer_code code, outcome result) {
        const auto answer = answer_without_result({call, writes, "id-1"});
        EXPECT_EQ(answer.code, code);
        EXPECT_EQ(answer.result, result);
        EXPECT_EQ(answer.request_id, result == outcome::unknown ? "id-1" : "");
    }
};

// Guards against a caller that repeats a write which has run, because it was told that it has not.
TEST_F(unfinished_request_test, request_that_may_be_committed_has_an_unknown_outcome) {
    expect(caller_call::run, true, answer_code::outcome_unknown, outcome::unknown);
    expect(caller_call::commit, false, answer_code::outcome_unknown, outcome::unknown);
    expect(caller_call::cancel, false, answer_code::outcome_unknown, outcome::unknown);
}

// Guards against a lookup whose caller concludes that the earlier request has not run.
TEST_F(unfinished_request_test, lookup_has_an_unknown_outcome) {
    expect(caller_call::lookup, false, answer_code::outcome_unknown, outcome::unknown);
}

// Guards against a caller that does not repeat a request which changed nothing.
TEST_F(unfinished_request_test, request_that_commits_nothing_has_not_run) {
    expect(caller_call::run, false, answer_code::unavailable, outcome::not_run);
    expect(caller_call::begin, false, answer_code::unavailable, outcome::not_run);
    expect(caller_call::add, true, answer_code::conflict, outcome::not_run);
    expect(caller_call::rollback, false, answer_code::conflict, outcome::not_run);
}

} // namespace
} // namespace oriole::app
