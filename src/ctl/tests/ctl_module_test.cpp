#include "ctl/ctl_module.h"
#include "ctl/tests/fake_environment.h"
#include "site/site_codec.h"

#include <gtest/gtest.h>

#include <sstream>

namespace oriole::ctl {
namespace {

class ctl_module_test : public testing::Test {
protected:
    /// Runs a command with --platform, and --author if it publishes; returns the exit code.
    int run(std::vector<std::string> words) {
        const std::string command = words.front();
        words.insert(words.end(), {"--platform", "127.0.0.1:7000"});
        if (command != "get" && command != "diff" && command != "history" && command != "audit" &&
            command != "status") {
            words.insert(words.end(), {"--author", "ada"});
        }
        return run_exactly(words);
    }

    int run_exactly(const std::vector<std::string>& words) {
        m_out.str({});
        m_err.str({});
        return m_module.run(words, m_out, m_err);
    }

    int apply_example() {
        std::vector<std::string> words{"apply"};
        for (const char* file : {"accounts", "databases", "keys", "services", "zones"}) {
            std::ostringstream path;
            path << ORIOLE_EXAMPLES << "/stillwasser/" << file << ".yaml";
            words.push_back(path.str());
        }
        return run(std::move(words));
    }

    fake_environment m_system;
    ctl_module m_module{m_system};
    std::ostringstream m_out;
    std::ostringstream m_err;
};

// Guards against output of 'get' that 'check' and 'apply' reject or see as a change, so that a
// published configuration could not be edited.
TEST_F(ctl_module_test, printed_objects_are_accepted_again_without_difference) {
    ASSERT_EQ(apply_example(), 0) << m_err.str();
    EXPECT_EQ(m_out.str(), "generation 1 accepted\n");
    ASSERT_EQ(run({"get"}), 0);
    m_system.files["all.yaml"] = m_out.str();
    EXPECT_EQ(run_exactly({"check", "all.yaml"}), 0) << m_err.str();
    EXPECT_EQ(run({"diff", "all.yaml", "--prune"}), 0);
    EXPECT_EQ(m_out.str(), "");
    EXPECT_EQ(run({"apply", "all.yaml", "--prune"}), 0);
    EXPECT_EQ(m_out.str(), "generation 1 unchanged, there is no difference\n");
}

// Guards against an object whose path becomes a request of its own to the platform.
TEST_F(ctl_module_test, path_of_an_object_stays_one_part_of_the_request) {
    m_system.network.objects["audit/a b?c\r\nDELETE /v1/objects/config/head"] = {"{}", 1, "o"};
    ASSERT_EQ(run({"audit"}), 0) << m_err.str();
    EXPECT_EQ(m_system.network.targets.back(),
              "/v1/objects/audit/a%20b%3Fc%0D%0ADELETE%20/v1/objects/config/head");
}

// Guards against a comment that adds a generation of its own to the history.
TEST_F(ctl_module_test, history_has_one_line_for_each_generation) {
    ASSERT_EQ(apply_example(), 0) << m_err.str();
    ASSERT_EQ(run({"zone", "out", "ch-central-b", "--comment", "first\n9  2026-01-01  eve  x"}), 0)
        << m_err.str();
    ASSERT_EQ(run({"history"}), 0);
    const std::string history = m_out.str();
    EXPECT_EQ(std::count(history.begin(), history.end(), '\n'), 2) << history;
    EXPECT_NE(history.find("first\\x0a9"), std::string::npos) << history;
}

// Guards against a change that is applied twice or reported as failed when responses of the
// platform are lost.
TEST_F(ctl_module_test, lost_responses_leave_one_generation_and_one_audit_entry) {
    m_system.network.lost_responses = 50;
    ASSERT_EQ(apply_example(), 0) << m_err.str();
    m_system.network.lost_responses = 0;
    ASSERT_EQ(run({"zone", "out", "ch-central-b"}), 0) << m_err.str();
    ASSERT_EQ(run({"audit"}), 0);
    const std::string entries = m_out.str();
    EXPECT_EQ(std::count(entries.begin(), entries.end(), '\n'), 2);
    EXPECT_NE(entries.find(R"("reason":"availability-zone/ch-central-b out","to":2,"when")"),
              std::string::npos)
        << entries;
    EXPECT_EQ(run({"get", "availability-zone/ch-central-b"}), 0);
    EXPECT_NE(m_out.str().find("state: out"), std::string::npos);
}

// Guards against taking a second of three zones out of service by mistake, which leaves a database
// without a majority of servers.
TEST_F(ctl_module_test, second_zone_out_needs_force) {
    ASSERT_EQ(apply_example(), 0);
    ASSERT_EQ(run({"zone", "out", "ch-central-b"}), 0);
    EXPECT_EQ(run({"zone", "out", "ch-central-c"}), 1);
    EXPECT_NE(m_err.str().find("database/library-1"), std::string::npos) << m_err.str();
    EXPECT_EQ(run({"zone", "out", "ch-central-c", "--force"}), 0) << m_err.str();
    EXPECT_EQ(run({"revert", "1"}), 0);
    EXPECT_EQ(m_out.str(), "generation 4 accepted\n");
    EXPECT_EQ(run({"history"}), 0);
    EXPECT_EQ(m_out.str().substr(0, 2), "4 ");
}

// Guards against a key that is stored in the platform in plain text.
TEST_F(ctl_module_test, granted_key_is_stored_as_digest_only_and_can_be_withdrawn) {
    ASSERT_EQ(apply_example(), 0);
    ASSERT_EQ(run({"key", "grant", "--name", "radio-2", "--account", "partner-radio", "--service",
                   "track-lookup"}),
              0)
        << m_err.str();
    const std::string line = "\nkey ";
    const std::string key = m_out.str().substr(m_out.str().find(line) + line.size(), 64);
    for (const auto& [path, object] : m_system.network.objects) {
        EXPECT_EQ(object.value.find(key), std::string::npos) << path;
    }
    ASSERT_EQ(run({"get", "key/radio-2"}), 0);
    EXPECT_NE(m_out.str().find("digest: " + site::digest_of(std::string_view(key))),
              std::string::npos);
    EXPECT_EQ(run({"key", "withdraw", "radio-2"}), 0);
    EXPECT_EQ(run({"get", "key/radio-2"}), 0);
    EXPECT_NE(m_out.str().find("state: withdrawn"), std::string::npos);
    EXPECT_EQ(run({"key", "withdraw", "radio-3"}), 1);
}

// Guards against --wait reporting success while an instance uses an older generation, or never
// returning.
TEST_F(ctl_module_test, wait_names_instances_that_have_not_confirmed) {
    m_system.network.confirmed = {{"127.0.0.1:9001", 0}, {"127.0.0.1:9002", 0}};
    ASSERT_EQ(apply_example(), 0);
    m_system.network.confirmed = {{"127.0.0.1:9001", 1}, {"127.0.0.1:9002", 1}};
    m_system.on_sleep = [this] { m_system.network.confirmed["127.0.0.1:9002"] = 2; };
    EXPECT_EQ(run({"zone", "out", "ch-central-b", "--wait"}), 1);
    EXPECT_NE(m_err.str().find("i-127.0.0.1:9001 has not confirmed"), std::string::npos);
    EXPECT_EQ(m_err.str().find("i-127.0.0.1:9002"), std::string::npos);
    m_system.on_sleep = [this] {
        m_system.network.confirmed = {{"127.0.0.1:9001", 3}, {"127.0.0.1:9002", 3}};
    };
    EXPECT_EQ(run({"zone", "in", "ch-central-b", "--wait"}), 0);
}

// Guards against a published generation that no instance uses, because a platform that was restored
// from an older copy gives its number out again, and against a history that ends at the gap.
TEST_F(ctl_module_test, generation_after_a_restore_is_above_those_in_use) {
    ASSERT_EQ(apply_example(), 0);
    m_system.network.confirmed = {{"127.0.0.1:9001", 4}, {"127.0.0.1:9002", 3}};
    ASSERT_EQ(run({"zone", "out", "ch-central-b"}), 0);
    EXPECT_NE(m_out.str().find("generation 5 accepted"), std::string::npos);
    EXPECT_NE(m_err.str().find("use generation 4, but the newest at the platform is 1"),
              std::string::npos);
    ASSERT_EQ(run({"history", "--output", "json"}), 0);
    const auto listed = nlohmann::json::parse(m_out.str());
    ASSERT_EQ(listed.size(), 2U);
    EXPECT_EQ(listed[0].at("generation"), 5);
    EXPECT_EQ(listed[1].at("generation"), 1);
}

// Guards against exit codes by which a script cannot distinguish usage errors, findings and an
// unreachable platform.
TEST_F(ctl_module_test, exit_codes_distinguish_usage_findings_and_outage) {
    EXPECT_EQ(run_exactly({"apply"}), 2);
    EXPECT_EQ(run_exactly({"aply"}), 2);
    EXPECT_EQ(run_exactly({"check"}), 2);
    EXPECT_EQ(run_exactly({"get", "--platform", "nowhere"}), 2);
    EXPECT_EQ(run_exactly({"check", "missing.yaml"}), 1);
    EXPECT_EQ(run_exactly({"key", "--help"}), 0);
    m_system.network.reachable = false;
    EXPECT_EQ(run({"get"}), 3);
    EXPECT_EQ(apply_example(), 3);
}

// Guards against a hang or crash when no process listens at the address of the platform.
TEST_F(ctl_module_test, closed_port_is_reported_as_unreachable) {
    const auto system = make_system_environment();
    ctl_module module(*system);
    EXPECT_EQ(module.run({"get", "--platform", "127.0.0.1:1"}, m_out, m_err), 3);
}

} // namespace
} // namespace oriole::ctl
