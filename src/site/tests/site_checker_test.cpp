#include "site/site_checker.h"
#include "site/tests/example_files.h"

#include <gtest/gtest.h>

#include <sstream>

namespace oriole::site {
namespace {

class site_checker_test : public testing::Test {
protected:
    /// Checks the example with `from` replaced by `to` at its first occurrence and `extra`
    /// appended.
    void check(const std::string& from, const std::string& to, const std::string& extra = {}) {
        auto sources = example_files("stillwasser");
        for (auto& source : sources) {
            const auto at = source.text.find(from);
            if (!from.empty() && at != std::string::npos) {
                source.text.replace(at, from.size(), to);
                break;
            }
        }
        sources.push_back({"extra.yaml", extra});
        auto [site, found] = make_yaml_site_reader()->read(sources);
        const auto checked = make_site_checker()->check(site, m_policy);
        m_found = std::move(found);
        m_found.insert(m_found.end(), checked.begin(), checked.end());
    }

    void expect_finding(const std::string& part) const {
        std::string all;
        for (const auto& entry : m_found) {
            all += to_string(entry) + "\n";
        }
        EXPECT_NE(all.find(part), std::string::npos) << "wanted: " << part << "\nfound:\n" << all;
    }

    majority_loss_policy m_policy = majority_loss_policy::refuse;
    findings m_found;
};

// Guards against a configuration that takes a majority of a database's servers out of service and
// so stops its writes.
TEST_F(site_checker_test, majority_out_of_service_is_refused_without_force) {
    const std::string zone_b = "name: ch-central-b\nregion: ch-central\nstate: out";
    check("name: ch-central-b\nregion: ch-central\nstate: in", zone_b);
    EXPECT_FALSE(has_errors(m_found)) << "one zone of three may be out of service";
    check("name: ch-central-b\nregion: ch-central\nstate: in\n---\nkind: availability-zone\n"
          "name: ch-central-c\nregion: ch-central\nstate: in",
          zone_b + "\n---\nkind: availability-zone\nname: ch-central-c\nregion: ch-central\n"
                   "state: out");
    expect_finding("leave 1 of 3 servers");
    EXPECT_TRUE(has_errors(m_found));
    m_policy = majority_loss_policy::allow;
    check(
        "state: in\n---\nkind: availability-zone\nname: ch-central-c\nregion: ch-central\nstate: "
        "in",
        "state: out\n---\nkind: availability-zone\nname: ch-central-c\nregion: ch-central\nstate: "
        "out");
    expect_finding("warning: object database/library-1: zones and servers out of service leave");
    EXPECT_FALSE(has_errors(m_found));
}

// Guards against databases that cannot confirm writes after the failure of one server.
TEST_F(site_checker_test, server_count_and_shared_servers_are_checked) {
    check("[library-1-a, library-1-b, library-1-c]", "[library-1-a, library-1-b]");
    expect_finding("the database has 2 servers; list at least 3");
    check("[library-1-a, library-1-b, library-1-c]",
          "[library-1-a, library-1-b, library-1-c, library-2-a]");
    expect_finding("even number of servers (4)");
    expect_finding("already belongs to the database 'library-1'");
    check("zone: ch-central-b", "zone: ch-central-a");
    EXPECT_TRUE(m_found.empty()) << "two zones survive the loss of one";
    check("127.0.0.11:7010", "127.0.0.10:7010");
    expect_finding("127.0.0.10:7010 is already the address of backend-server 'library-1-a'");
}

// Guards against placing all servers of a database in one zone, whose failure would stop it.
TEST_F(site_checker_test, servers_in_one_zone_give_a_warning) {
    std::ostringstream extra;
    for (const char name : {'x', 'y', 'z'}) {
        extra << "---\nkind: backend-server\nname: " << name
              << "\nzone: ch-central-a\naddress: 127.0.0.30:9" << int{name}
              << "\ncontrol: 127.0.0.31:9" << int{name} << "\n";
    }
    check("", "",
          extra.str() + "---\nkind: database\nname: d\nservers: [x, y, z]\nconnections: 9\n"
                        "connect_time: 10ms\n");
    expect_finding("warning: object database/d: all servers are in the zone 'ch-central-a'");
}

// Guards against accepting references to missing objects or objects of the wrong kind, and against
// findings without a useful suggestion.
TEST_F(site_checker_test, wrong_reference_suggests_the_most_similar_name) {
    check("database: library-1", "database: libary-1");
    expect_finding("there is no database 'libary-1'; did you mean 'library-1'?");
    check("region: ch-central", "region: ch-central-b");
    expect_finding("'ch-central-b' is of kind availability-zone, but kind region is needed here");
    check("region: ch-central", "region: ch-central-a");
    expect_finding("the references form a cycle: availability-zone/ch-central-a -> "
                   "availability-zone/ch-central-a");
}

// Guards against one key that authenticates two accounts, and against rates under which some
// requests are never admitted.
TEST_F(site_checker_test, inconsistent_keys_and_rates_are_reported) {
    const std::string digest(64, 'a');
    const auto key = [&](const std::string& name, const std::string& account) {
        return "---\nkind: key\nname: " + name + "\naccount: " + account + "\ndigest: " + digest +
               "\n";
    };
    check("", "", key("k-1", "klang-app") + key("k-2", "car-player"));
    expect_finding("the key 'k-1' of the client account 'klang-app' has the same digest");
    check("burst: 100", "burst: 4");
    expect_finding("the burst 4 is below the weight 8 of the service 'recording-upload'");
    check("", "", "kind: client-account\nname: lonely\nrate: small\n");
    expect_finding("warning: object client-account/lonely: the client account has no granted key");
    check("access: write\nweight: 8", "access: write\nmax_age: 1s\nweight: 8");
    expect_finding("a service with access write cannot accept old data");
}

// Guards against a second definition that silently replaces the first, and against a syntax error
// that hides findings in other documents.
TEST_F(site_checker_test, repeated_names_and_syntax_errors_do_not_hide_other_findings) {
    check("", "",
          "kind: region\nname: ch-central\n---\n- a: [\n---\nkind: rate\nname: large-2\nburst: 5\n"
          "burst: 6\nper_second: 1h\n");
    expect_finding("extra.yaml:1:1: error: object region/ch-central: the name is already used at "
                   "zones.yaml:3");
    expect_finding("extra.yaml:4:1: error: YAML syntax error");
    expect_finding(
        "extra.yaml:9:1: error: object rate/large-2: the field 'burst' is already given");
    expect_finding("extra.yaml:10:13: error: object rate/large-2: the field 'per_second': '1h' is "
                   "not a number");
}

} // namespace
} // namespace oriole::site
