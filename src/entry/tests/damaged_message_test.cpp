#include "base/tests/message_mutation.h"
#include "entry/forward_codec.h"
#include "entry/internal/fleet_state.h"
#include "entry/peer_report_codec.h"
#include "entry/usage_message_codec.h"
#include "usage/report_duty.h"
#include "usage/usage_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <unistd.h>

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;
using tests::message_mutation;

/// Messages between instances that were damaged at random.
class damaged_message_test : public testing::Test {
protected:
    static std::uint64_t seed() { return *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()); }

    /// Damages the bytes of the message or the values in it.
    static std::string damaged(const std::string& message) {
        message_mutation mutation(seed());
        if (mutation.below(2) == 0) {
            return mutation.damaged(message);
        }
        const auto document = mutation.damaged(nlohmann::json::parse(message));
        return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    static fleet::configuration configuration() {
        fleet::configuration value;
        value.version = 7;
        value.services[service_name("db")] = {21, 0};
        fleet::route route;
        route.database = "diary";
        route.service = service_name("db");
        route.policy = fleet::read_policy::own_writes;
        route.statement_timeout = 800ms;
        value.routes["diary"] = route;
        value.accounts.push_back({account_name("t"), {"key"}, 100, 100});
        return value;
    }

    static peer_report report() {
        peer_report report;
        report.from = instance_id("peer");
        report.incarnation = 5;
        report.sequence = 2;
        report.wanted_loans = {1};
        report.knows_orders = true;
        report.orders[service_name("db")] = {12, server_name("s")};
        report.revisions = {{7, {2, 4}}, {2, 5}, {2, 6}};
        peer_service_report service;
        service.primary = server_name("s");
        service.answer_age = 1ms;
        service.proven_server = server_name("s");
        service.position = machines::log_position(2, 9);
        service.proof_age = 1ms;
        service.order_fence = 12;
        service.order_age = 4s;
        report.services[service_name("db")] = service;
        report.configuration = std::make_shared<fleet::configuration>(configuration());
        fleet::registered_server server;
        server.id = server_name("s");
        server.service = service_name("db");
        server.address = endpoint("10.0.0.1", 80);
        server.revision = {2, 5};
        report.servers = {server};
        report.evacuated = {{zone_name("z"), {1, 6}}};
        report.wall_time = usage::true_time(500'000h);
        return report;
    }

    static fleet::registered_instance own() {
        fleet::registered_instance own;
        own.id = instance_id("own");
        own.zone = zone_name("zone-a");
        return own;
    }

    std::unique_ptr<decision_log> m_log = make_decision_log(STDERR_FILENO);
};

// Guards against an instance that ends, because a report cannot be read or has senseless values.
RC_GTEST_FIXTURE_PROP(damaged_message_test, report_is_merged_or_rejected, ()) {
    const auto text = damaged(encode_report(report()));
    const clock::time_point now(1h);
    try {
        const auto received = decode_report(text);
        fleet_state fleet(own(), *m_log, fleet::primary_leasing::needed, 3);
        fleet.merge_report(received, now, now);
        static_cast<void>(fleet.advance(now));
        static_cast<void>(fleet.make_view(now));
        static_cast<void>(encode_report(fleet.report_for(&received, now)));
    } catch (const report_unreadable&) {
        RC_CLASSIFY(true, "rejected");
    }
}

// Guards against a gateway that ends, because a forwarded statement cannot be read.
RC_GTEST_FIXTURE_PROP(damaged_message_test, forwarded_statement_is_decoded_or_rejected, ()) {
    forwarded_statement forwarded;
    forwarded.route = configuration().routes.at("diary");
    forwarded.account = account_name("t");
    forwarded.statement.id = "17";
    forwarded.statement.text = "EXECUTE s 1";
    forwarded.statement.kind = sessions::statement_kind::execute;
    forwarded.decision.shape = sessions::prepared_statement{"q", true};
    forwarded.values = {{"a", "1"}};
    forwarded.own_commit = machines::log_position(2, 9);
    const auto text = damaged(encode_forwarded(forwarded));
    try {
        static_cast<void>(encode_forwarded(decode_forwarded(text)));
    } catch (const report_unreadable&) {
        RC_CLASSIFY(true, "rejected");
    }
}

// Guards against an instance that ends, because a gateway's answer cannot be read.
RC_GTEST_FIXTURE_PROP(damaged_message_test, outcome_is_decoded_or_rejected, ()) {
    forwarded_outcome outcome;
    outcome.answer.rows = {"x", "\xff\x80 y"};
    outcome.answer.signature = "7.1f";
    outcome.answer.position = machines::log_position(3, 4);
    outcome.server = server_name("s");
    outcome.routing_basis = "lead";
    const auto text = damaged(encode_outcome(outcome));
    try {
        static_cast<void>(encode_outcome(decode_outcome(text)));
    } catch (const report_unreadable&) {
        RC_CLASSIFY(true, "rejected");
    }
}

// Guards against a collector of usage that ends, because a message cannot be read or has senseless
// values.
RC_GTEST_FIXTURE_PROP(damaged_message_test, usage_counts_are_merged_or_rejected, ()) {
    const usage::entry_key key{70, instance_id("peer"), 5};
    const auto text = damaged(encode_counts(
        {{{key, {{account_name("t"), 3}}, 3}}, false, {69, 8, instance_id("peer"), 1ms, true}}));
    try {
        const auto message = decode_counts(text);
        usage::usage_ledger ledger;
        ledger.keep(68, 71);
        usage::counts_receipt receipt;
        for (const auto& entry : message.entries) {
            receipt.totals[entry.key] = ledger.merge(entry);
        }
        usage::report_duty duty(instance_id("own"), {5s, 10s, 3s});
        duty.heard(message.order, clock::time_point(1h));
        receipt.order = duty.news(clock::time_point(1h));
        static_cast<void>(decode_receipt(encode_receipt(receipt)));
        static_cast<void>(encode_entries_answer({ledger.missing_from({}, 70), 1}));
    } catch (const report_unreadable&) {
        RC_CLASSIFY(true, "rejected");
    }
}

} // namespace
} // namespace oriole::entry
