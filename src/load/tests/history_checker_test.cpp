#include "load/history_checker.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::load {
namespace {

using machines::statement;
using machines::statement_kind;
using std::chrono::microseconds;

/// Builds a history of requests that are sent every millisecond and answered after half a
/// millisecond.
class history_checker_test : public testing::Test {
protected:
    using names = std::vector<std::string>;

    recorded_request& add(std::vector<statement> statements, outcome result = outcome::done) {
        recorded_request request;
        request.id = "r" + std::to_string(m_history.requests.size());
        request.account = "acme";
        request.sent = microseconds(1000 * (m_history.requests.size() + 1));
        request.answered = request.sent + microseconds(500);
        request.status = result == outcome::done ? 200 : 503;
        request.result = result;
        for (const auto& item : statements) {
            if (result == outcome::done) {
                request.results.push_back({item.row, item.value});
            }
        }
        request.statements = std::move(statements);
        m_history.requests.push_back(std::move(request));
        return m_history.requests.back();
    }

    recorded_request& put(const std::string& row, const std::string& value,
                          outcome result = outcome::done) {
        return add({{statement_kind::put, row, value, 0}}, result);
    }

    recorded_request& increment(const std::string& row, outcome result = outcome::done) {
        return add({{statement_kind::add, row, "", 1}}, result);
    }

    recorded_request& get(const std::string& row, std::optional<std::string> value,
                          request_phase phase = request_phase::load) {
        auto& request = add({{statement_kind::get, row, "", 0}});
        request.phase = phase;
        request.results = {{row, std::move(value)}};
        return request;
    }

    /// The names of the violated properties, each once.
    [[nodiscard]] names violated_properties() const {
        names found;
        for (const auto& item : make_history_checker()->check(m_history)) {
            EXPECT_FALSE(item.requests.empty()) << item.property << " shows no request";
            found.push_back(item.property);
        }
        found.erase(std::unique(found.begin(), found.end()), found.end());
        return found;
    }

    recorded_history m_history;
};

// Guards against false positives, also for writes with an unknown outcome.
TEST_F(history_checker_test, clean_history_has_no_violation) {
    m_history.accounts["acme"].limit = rate_limit{1000, 2};
    get("a", std::nullopt);
    put("a", "v1");
    get("a", "v1");
    put("a", "v2", outcome::not_run);
    get("a", "v1");
    put("a", "v3", outcome::unknown).resolved = outcome::done;
    get("a", "v1");
    get("a", "v3");
    increment("n");
    increment("n", outcome::unknown).resolved = outcome::done;
    increment("n", outcome::unknown).resolved = outcome::not_run;
    get("a", "v3", request_phase::check);
    get("n", "2", request_phase::check);
    EXPECT_EQ(violated_properties(), names{});
}

// Guards against not detecting a replica that serves a session before it has applied the session's
// last write.
TEST_F(history_checker_test, read_of_the_value_before_an_own_write_violates_read_your_writes) {
    put("a", "v1");
    put("a", "v2");
    get("a", "v1");
    EXPECT_EQ(violated_properties(), names{"read_your_writes"});
}

// Guards against not detecting a promotion that drops an acknowledged write.
TEST_F(history_checker_test, absence_of_a_write_after_the_load_is_a_lost_write) {
    put("a", "v1");
    get("a", std::nullopt, request_phase::check);
    EXPECT_EQ(violated_properties(), names{"lost_acknowledged_write"});
}

// Guards against not detecting a lookup that returns done for a write that had no effect.
TEST_F(history_checker_test, absence_of_a_write_that_was_looked_up_as_done_is_a_lost_write) {
    put("a", "v1");
    put("a", "v2", outcome::unknown).resolved = outcome::done;
    get("a", "v1", request_phase::check);
    EXPECT_EQ(violated_properties(), names{"lost_acknowledged_write"});
}

// Guards against not detecting status 409 for a read: the servers have lost the history that the
// session token names.
TEST_F(history_checker_test, lost_session_history_is_a_lost_write) {
    put("a", "v1");
    auto& read = get("a", std::nullopt);
    read.result = outcome::not_run;
    read.status = 409;
    EXPECT_EQ(violated_properties(), names{"lost_acknowledged_write"});
}

// Guards against not detecting a retry that runs an increment twice.
TEST_F(history_checker_test, counter_above_the_adds_that_ran_is_a_doubled_request) {
    increment("n");
    increment("n", outcome::unknown).resolved = outcome::not_run;
    get("n", "2", request_phase::check);
    EXPECT_EQ(violated_properties(), names{"doubled_request"});
}

// Guards against not detecting an increment with the outcome done that had no effect.
TEST_F(history_checker_test, counter_below_the_adds_that_ran_is_reported) {
    increment("n");
    increment("n");
    get("n", "1", request_phase::check);
    EXPECT_EQ(violated_properties(), names{"doubled_request"});
}

// Guards against not detecting a write that takes effect although its outcome is not-run.
TEST_F(history_checker_test, value_of_a_write_with_outcome_not_run_is_untrue) {
    put("a", "v1", outcome::not_run);
    get("a", "v1");
    EXPECT_EQ(violated_properties(), names{"untrue_not_run"});
}

// Guards against not detecting that the responses to two callers are swapped.
TEST_F(history_checker_test, value_of_another_session_is_foreign) {
    put("a", "v1").session = 1;
    get("a", "v1");
    EXPECT_EQ(violated_properties(), names{"foreign_answer"});
}

// Guards against not detecting the response to another request with the same number of rows.
TEST_F(history_checker_test, row_that_was_not_requested_is_foreign) {
    get("a", std::nullopt).results = {{"b", std::nullopt}};
    EXPECT_EQ(violated_properties(), names{"foreign_answer"});
}

// Guards against not detecting a truncated response.
TEST_F(history_checker_test, missing_results_are_an_incomplete_answer) {
    get("a", std::nullopt).results.clear();
    EXPECT_EQ(violated_properties(), names{"incomplete_answer"});
}

// Guards against not detecting that a withdrawn key still works.
TEST_F(history_checker_test, request_after_the_end_of_its_key_violates_wrong_account) {
    m_history.accounts["acme"].key_ends = microseconds(1500);
    get("a", std::nullopt);
    EXPECT_EQ(violated_properties(), names{});
    get("a", std::nullopt);
    EXPECT_EQ(violated_properties(), names{"wrong_account"});
}

// Guards against not detecting that the instances together admit more requests than the account's
// rate allows, also when the excess is limited to a short interval.
TEST_F(history_checker_test, more_requests_than_rate_and_burst_are_an_excess) {
    m_history.accounts["acme"].limit = rate_limit{1000, 1};
    for (int i = 0; i < 4; ++i) {
        get("a", std::nullopt);
    }
    EXPECT_EQ(violated_properties(), names{});
    m_history.requests[2].sent = m_history.requests[1].sent;
    m_history.requests[2].answered = m_history.requests[1].answered;
    EXPECT_EQ(violated_properties(), names{"rate_excess"});
}

// Guards against not detecting a response without an outcome.
TEST_F(history_checker_test, response_without_outcome_is_reported) {
    get("a", std::nullopt).result.reset();
    EXPECT_EQ(violated_properties(), names{"missing_outcome"});
}

// Guards against not detecting a write whose outcome stays unknown after all lookups.
TEST_F(history_checker_test, unresolved_write_is_reported) {
    put("a", "v1", outcome::unknown);
    EXPECT_EQ(violated_properties(), names{"missing_outcome"});
}

} // namespace
} // namespace oriole::load
