#include "sessions/caller_session.h"

#include <algorithm>

namespace oriole::sessions {
namespace {

/// Bytes of an entry of a map beside its texts.
constexpr std::size_t entry_bytes = 128;

session_decision answer_decision(answer_code code) {
    session_decision decision;
    decision.code = code;
    return decision;
}

} // namespace

session_decision caller_session::decide(const statement& next) {
    if (m_state == transaction_state::failed) {
        return decide_in_failed(next);
    }
    session_decision decision;
    switch (next.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        return decide_begin(next);
    case statement_kind::commit:
        if (m_state == transaction_state::none) {
            return reject(answer_code::malformed);
        }
        decision.step = session_step::commit;
        return decision;
    case statement_kind::rollback:
        if (m_state == transaction_state::none) {
            return reject(answer_code::malformed);
        }
        m_state = transaction_state::none;
        decision.step = session_step::roll_back;
        return decision;
    case statement_kind::read:
    case statement_kind::write:
        decision.step = session_step::run;
        decision.writes = next.kind == statement_kind::write;
        decision.starts_operation = m_state == transaction_state::none;
        return decision;
    case statement_kind::set_value:
        set_value(next);
        return decision;
    case statement_kind::prepare:
        prepare(next);
        return decision;
    case statement_kind::execute:
        return decide_execute(next);
    case statement_kind::close_prepared:
        return decide_close(next);
    case statement_kind::malformed:
        return reject(answer_code::malformed);
    }
    return reject(answer_code::malformed);
}

void caller_session::committed(const machines::log_position& position) {
    m_last_commit = m_last_commit ? std::max(*m_last_commit, position) : position;
}

session_decision caller_session::decide_in_failed(const statement& next) {
    if (next.kind != statement_kind::commit && next.kind != statement_kind::rollback) {
        return answer_decision(answer_code::malformed);
    }
    m_state = transaction_state::none;
    session_decision decision;
    decision.step = session_step::roll_back;
    // A commit of a failed transaction is rolled back; the answer has to tell the caller so.
    decision.code = next.kind == statement_kind::commit ? answer_code::aborted : answer_code::ok;
    return decision;
}

session_decision caller_session::decide_begin(const statement& next) {
    if (m_state != transaction_state::none) {
        return reject(answer_code::malformed);
    }
    m_state = transaction_state::open;
    m_reads_only = next.kind == statement_kind::begin_read;
    session_decision decision;
    decision.starts_operation = true;
    return decision;
}

session_decision caller_session::decide_execute(const statement& next) {
    const auto found = m_prepared.find(next.name);
    if (found == m_prepared.end()) {
        return reject(answer_code::unknown_name);
    }
    session_decision decision;
    decision.step = session_step::run;
    decision.shape = found->second;
    decision.writes = found->second.writes;
    decision.starts_operation = m_state == transaction_state::none;
    return decision;
}

session_decision caller_session::decide_close(const statement& next) {
    const auto found = m_prepared.find(next.name);
    if (found == m_prepared.end()) {
        return reject(answer_code::unknown_name);
    }
    m_prepared_bytes -= entry_bytes + found->first.size() + found->second.shape.size();
    m_prepared.erase(found);
    return {};
}

void caller_session::set_value(const statement& next) {
    const auto [position, added] = m_values.try_emplace(next.name);
    m_value_bytes += added ? entry_bytes + next.name.size() : 0;
    m_value_bytes += next.argument.size();
    m_value_bytes -= position->second.size();
    position->second = next.argument;
}

void caller_session::prepare(const statement& next) {
    const auto [position, added] = m_prepared.try_emplace(next.name);
    m_prepared_bytes += added ? entry_bytes + next.name.size() : 0;
    m_prepared_bytes += next.shape.size();
    m_prepared_bytes -= position->second.shape.size();
    position->second = prepared_statement{next.shape, next.writes};
}

session_decision caller_session::reject(answer_code code) {
    session_decision decision = answer_decision(code);
    if (m_state == transaction_state::open) {
        m_state = transaction_state::failed;
        decision.step = session_step::roll_back;
    }
    return decision;
}

} // namespace oriole::sessions
