#include "links/internal/rpc_client_codec.h"
#include "links/internal/rpc_server_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::links {
namespace {

class rpc_codec_test : public testing::Test {
protected:
    rpc_codec_test() { m_server.add_method("config.offer"); }

    rpc_server_codec m_server;
    std::string m_request = make_rpc_request("config.offer", R"({"generation":7})");
};

std::string alter_byte(std::string text) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    return text;
}

void expect_result_or_failure(const std::string& answer) {
    try {
        RC_ASSERT(!read_rpc_result("config.offer", answer).empty());
    } catch (const rpc_error& failure) {
        RC_ASSERT(!std::string(failure.what()).empty());
    }
}

// Guards against params or results that are altered by the JSON-RPC library.
TEST_F(rpc_codec_test, known_method_params_and_result_pass_through) {
    const auto call = m_server.read(m_request);
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(*call, (rpc_call{"config.offer", R"({"generation":7})"}));
    const auto answer = m_server.answer(m_request, {false, R"({"generation":8})"});
    EXPECT_EQ(read_rpc_result("config.offer", answer), R"({"generation":8})");
}

// Guards against reporting a handler's failure to the caller as a successful call.
TEST_F(rpc_codec_test, failed_handler_reason_reaches_caller) {
    const auto answer = m_server.answer(m_request, {true, "no such generation"});
    try {
        read_rpc_result("config.offer", answer);
        FAIL() << "no exception";
    } catch (const rpc_error& failure) {
        EXPECT_NE(std::string(failure.what()).find("no such generation"), std::string::npos);
    }
}

// Guards against unknown methods and batches, which would run without a handler.
TEST_F(rpc_codec_test, unknown_method_or_batch_is_rejected) {
    const auto unknown = make_rpc_request("config.drop", "{}");
    EXPECT_FALSE(m_server.read(unknown).has_value());
    EXPECT_THROW(read_rpc_result("config.drop", m_server.answer(unknown, {false, "1"})), rpc_error);
    EXPECT_FALSE(m_server.read("[" + m_request + "," + m_request + "]").has_value());
}

// Guards against crashes of the client or server codec on arbitrary or corrupted text.
RC_GTEST_FIXTURE_PROP(rpc_codec_test, altered_text_never_crashes, (const std::string& noise)) {
    const std::string answered = m_server.answer(m_request, {*rc::gen::arbitrary<bool>(), "7"});
    for (const auto& text : {noise, alter_byte(m_request), alter_byte(answered)}) {
        (void)m_server.read(text);
        const std::string answer = m_server.answer(text, {false, "1"});
        expect_result_or_failure(text);
        expect_result_or_failure(answer);
    }
}

// Guards against a stack overflow on deeply nested text.
TEST_F(rpc_codec_test, deeply_nested_text_is_rejected) {
    EXPECT_FALSE(m_server.read(std::string(100'000, '[')).has_value());
    EXPECT_THROW(read_rpc_result("config.offer", std::string(100'000, '[')), rpc_error);
}

} // namespace
} // namespace oriole::links
