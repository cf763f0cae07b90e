#include "entry/peer_report_codec.h"

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

class peer_report_codec_test : public testing::Test {
protected:
    static peer_report make() {
        peer_report report;
        report.from = instance_id("i");
        report.incarnation = 7;
        report.wanted_loans = {1, 4};
        report.granted_loans = {2};
        report.isolated = true;
        report.knows_orders = true;
        report.confirms_orders = true;
        report.orders[service_name("db")] = {12, server_name("s")};
        report.revisions = {{3, {2, 4}}, {2, 5}, {2, 6}};
        peer_service_report service;
        service.primary = server_name("s");
        service.answer_age = 1500us;
        service.failing_for = 3ms;
        service.proven_server = server_name("s");
        service.position = machines::log_position(2, 9);
        service.proof_age = 250us;
        service.order_fence = 12;
        service.order_age = 4s;
        report.services[service_name("db")] = service;
        fleet::registered_server server;
        server.id = server_name("s");
        server.service = service_name("db");
        server.address = endpoint("10.0.0.1", 80);
        server.sequence = 8;
        server.revision = {2, 5};
        report.servers = {server};
        report.evacuated = {{zone_name("z"), {1, 6}}};
        return report;
    }
};

// Guards against fields of a report that are not encoded or not decoded.
TEST_F(peer_report_codec_test, report_is_unchanged_by_encoding) {
    const auto report = make();
    EXPECT_EQ(decode_report(encode_report(report)), report);
}

// Guards against a configuration that loses parts in transit between instances.
TEST_F(peer_report_codec_test, configuration_is_unchanged_by_encoding) {
    fleet::configuration config;
    config.version = 3;
    config.routes["books"] = {
        "books", service_name("db"), fleet::read_policy::own_writes, 1s, 500ms, 2s, true};
    config.services[service_name("db")] = {21, 1};
    config.accounts.push_back({account_name("t"), {"k"}, 10, 5});
    config.transaction_idle = 3s;
    auto report = make();
    report.configuration = std::make_shared<const fleet::configuration>(config);
    EXPECT_EQ(*decode_report(encode_report(report)).configuration, config);
}

// Guards against a name from another instance that ends a field or a message to a server, and
// against one such name that makes the whole report unusable.
TEST_F(peer_report_codec_test, names_that_cannot_be_sent_are_left_out) {
    const auto report = make();
    fleet::configuration config;
    config.services[service_name("db")] = {21, 1};
    for (const auto* name : {"", "a b", "a\r\nQUERY - RESET"}) {
        auto odd = report;
        odd.servers->push_back(report.servers->front());
        odd.servers->back().id = server_name(name);
        odd.servers->push_back(report.servers->front());
        odd.servers->back().service = service_name(name);
        auto odd_config = config;
        odd_config.accounts.push_back({account_name(name), {"k"}, 10, 5});
        odd.configuration = std::make_shared<const fleet::configuration>(odd_config);
        const auto decoded = decode_report(encode_report(odd));
        EXPECT_EQ(decoded.servers, report.servers);
        EXPECT_TRUE(decoded.configuration->accounts.empty());
        EXPECT_EQ(decoded.configuration->services, config.services);
        EXPECT_EQ(decoded.unusable_names.size(), 3U);
    }
}

// Guards against an age that is rounded down, which would make a position proof look too recent.
TEST_F(peer_report_codec_test, ages_are_rounded_up) {
    auto report = make();
    report.services[service_name("db")].proof_age = 1001ns;
    const auto decoded = decode_report(encode_report(report));
    EXPECT_GE(decoded.services.at(service_name("db")).proof_age, 1001ns);
}

// Guards against a malformed message that terminates the control thread.
TEST_F(peer_report_codec_test, malformed_text_is_rejected) {
    EXPECT_THROW(static_cast<void>(decode_report("{")), report_unreadable);
    EXPECT_THROW(static_cast<void>(decode_report("{\"demand\":1}")), report_unreadable);
}

} // namespace
} // namespace oriole::entry
