#include "links/share_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

using contracts::loan_transfer;
using contracts::share_purpose;

class share_codec_test : public testing::Test {
protected:
    [[nodiscard]] static contracts::share_request make_request(std::uint64_t sequence,
                                                               contracts::share_parts parts) {
        return {instance_id{"i1"},
                zone_name{"a"},
                share_purpose::zone,
                sequence,
                sequence,
                {{account_name{"x"}, parts, 1}, {account_name{"y"}, 0, parts}}};
    }

    [[nodiscard]] static contracts::share_response make_response(std::uint64_t sequence,
                                                                 contracts::share_parts parts) {
        contracts::share_response value;
        value.responder = instance_id{"i2"};
        value.zone = zone_name{"b"};
        value.purpose = share_purpose::sublease;
        value.sequence = sequence;
        value.floor = parts;
        value.lease = std::chrono::milliseconds(4000);
        value.next_round = std::chrono::milliseconds(5000);
        value.grants = {{account_name{"x"}, parts, 7}};
        value.transfers = {loan_transfer(sequence, account_name{"x"}, parts)};
        return value;
    }

    [[nodiscard]] static contracts::share_ledger make_ledger(std::uint64_t sequence,
                                                             contracts::share_parts parts) {
        const account_name account{"x"};
        const zone_name other{"b"};
        contracts::share_ledger::builder value(contracts::share_ledger(4, 12, 100'000));
        value.holder(instance_id{"i1"}, {sequence, 3, {{account, parts}}});
        value.holder(instance_id{"i2"}, {1, std::nullopt, {}});
        value.loan_change(account, -parts);
        value.sent(other, {loan_transfer(sequence, account, parts)}, sequence);
        value.sent(zone_name{"c"}, {}, 2);
        value.received(other, sequence);
        return value.build();
    }
};

// Guards against shares that are altered by encoding and decoding.
RC_GTEST_FIXTURE_PROP(share_codec_test, decoding_returns_what_was_encoded, ()) {
    const auto sequence = *rc::gen::arbitrary<std::uint64_t>();
    const auto parts = *rc::gen::inRange<contracts::share_parts>(0, contracts::whole_share + 1);
    const contracts::share_plan plan(4, {zone_name{"a"}, zone_name{"b"}});
    RC_ASSERT(decode_share_request(encode_share_request(make_request(sequence, parts))) ==
              make_request(sequence, parts));
    RC_ASSERT(decode_share_response(encode_share_response(make_response(sequence, parts))) ==
              make_response(sequence, parts));
    RC_ASSERT(decode_share_ledger(encode_share_ledger(make_ledger(sequence, parts))) ==
              make_ledger(sequence, parts));
    RC_ASSERT(decode_share_plan(encode_share_plan(plan)) == plan);
}

// Guards against a crash or out-of-range values on a corrupted message or stored object.
RC_GTEST_FIXTURE_PROP(share_codec_test, corrupted_text_is_rejected_or_decoded, ()) {
    const auto damaged = [](std::string text) {
        const auto index = *rc::gen::inRange<std::size_t>(0, text.size());
        text[index] = *rc::gen::arbitrary<char>();
        return text;
    };
    const int kind = *rc::gen::inRange(0, 3);
    try {
        if (kind == 0) {
            (void)decode_share_request(damaged(encode_share_request(make_request(1, 2))));
        } else if (kind == 1) {
            const auto decoded =
                decode_share_response(damaged(encode_share_response(make_response(1, 2))));
            RC_ASSERT(decoded.floor >= 0 && decoded.floor <= contracts::whole_share);
        } else {
            const auto decoded =
                decode_share_ledger(damaged(encode_share_ledger(make_ledger(1, 2))));
            RC_ASSERT(decoded.slots() <= decoded.fleet_slots());
            RC_ASSERT(decoded.initial_loan() <= contracts::loan_half);
        }
    } catch (const decode_error&) {
        RC_TAG("refused");
    }
}

// Guards against negative, fractional or excessive parts, which would let other instances exceed
// their shares.
TEST_F(share_codec_test, values_out_of_range_are_refused) {
    const std::string text = encode_share_response(make_response(1, 9));
    for (const std::string wrong : {"-9", "9.5", "1000001", "\"9\""}) {
        std::string changed = text;
        changed.replace(changed.find("\"floor\":9"), 9, "\"floor\":" + wrong);
        EXPECT_THROW((void)decode_share_response(changed), decode_error) << wrong;
    }
}

// Guards against zone ledgers that together grant more than a client account's whole rate limit.
TEST_F(share_codec_test, ledgers_of_a_plan_sum_to_at_most_whole_share) {
    const contracts::share_plan plan(4, {zone_name{"a"}, zone_name{"b"}, zone_name{"c"}});
    contracts::share_parts sum = 0;
    for (const char* zone : {"a", "b", "c", "added-later"}) {
        const auto empty = plan.initial_ledger(zone_name{zone});
        sum += empty.slots() * empty.floor_parts() + empty.initial_loan();
    }
    EXPECT_LE(sum, contracts::whole_share);
    EXPECT_GE(sum, contracts::whole_share - 12);
}

} // namespace
} // namespace oriole::links
