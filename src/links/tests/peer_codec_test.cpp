#include "links/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

using machines::instance;
using machines::member_state;

class peer_codec_test : public testing::Test {
protected:
    /// Decodes `text`. Any exception other than decode_error fails the test.
    template <class Message>
    static void decode_any(const std::string& text) {
        try {
            (void)decode_peer_message<Message>(text);
        } catch (const decode_error& refusal) {
            RC_ASSERT(!std::string(refusal.what()).empty());
        }
    }

    template <class Message>
    static void check(const Message& message, const std::string& noise) {
        std::string text = encode_peer_message(message);
        RC_ASSERT(decode_peer_message<Message>(text) == message);
        decode_any<Message>(noise);
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        decode_any<Message>(text);
        decode_any<Message>(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
    }

    static std::string arbitrary_word() {
        return *rc::gen::container<std::string>(rc::gen::inRange('!', '~'));
    }

    static std::vector<machines::member_update> updates() {
        const auto self = instance::builder()
                              .id(instance_id(arbitrary_word()))
                              .zone(zone_name(arbitrary_word()))
                              .caller_endpoint({"127.0.0.1", *rc::gen::arbitrary<std::uint16_t>()})
                              .admin_endpoint({"::1", 2})
                              .peer_endpoint({"127.0.0.1", 3})
                              .build();
        const auto state = static_cast<member_state>(*rc::gen::inRange(0, 4));
        return {{self, *rc::gen::arbitrary<std::uint64_t>(), state}};
    }
};

// Guards against messages that are altered by encoding and decoding, and against crashes on
// arbitrary bytes.
RC_GTEST_FIXTURE_PROP(peer_codec_test, messages_round_trip_and_other_bytes_are_refused,
                      (const std::string& noise)) {
    const auto generation = *rc::gen::arbitrary<std::uint64_t>();
    const config_summary summary{generation, arbitrary_word(),
                                 std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000))};
    check(summary, noise);
    check(
        config_offer{generation, arbitrary_word(), instance_id(arbitrary_word()), {"127.0.0.1", 7}},
        noise);
    check(config_fetch{{arbitrary_word(), arbitrary_word()}}, noise);
    check(config_fetch_answer{arbitrary_word(), {{arbitrary_word(), arbitrary_word()}}}, noise);
    check(member_ping{instance_id("i1"), updates()}, noise);
    check(member_ping_answer{updates(), {generation, arbitrary_word(), {}}}, noise);
    check(member_ping_via{instance_id("i1"), {"127.0.0.1", 9}, updates()}, noise);
}

} // namespace
} // namespace oriole::links
