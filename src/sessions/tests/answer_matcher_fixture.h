#pragma once

#include "sessions/answer_matcher.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace oriole::sessions {

inline server_command make_command(command_kind kind) {
    server_command command;
    command.kind = kind;
    return command;
}

inline server_command make_statement(bool changes_data = false, bool ends_transaction = false) {
    server_command command;
    command.id = "5c0e";
    command.changes_data = changes_data;
    command.ends_transaction = ends_transaction;
    return command;
}

inline server_answer make_answer(const std::string& signature,
                                 transaction_state state = transaction_state::none) {
    server_answer answer;
    answer.signature = signature;
    answer.state = state;
    return answer;
}

inline server_answer make_error(answer_code code,
                                transaction_state state = transaction_state::none) {
    server_answer answer;
    answer.code = code;
    answer.signature = "i-7f";
    answer.state = state;
    return answer;
}

inline std::string numbered_signature(int number) {
    return std::string("s").append(std::to_string(number));
}

/// A matcher that has seen no command yet.
class answer_matcher_fixture : public testing::Test {
protected:
    std::optional<answer_mismatch> exchange(const server_command& command,
                                            const server_answer& answer) {
        m_matcher.sent(command);
        return m_matcher.received(answer);
    }

    answer_matcher m_matcher;
};

} // namespace oriole::sessions
