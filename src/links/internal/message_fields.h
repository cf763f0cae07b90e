#pragma once

#include "links/types/backend_messages.h"

#include <concepts>
#include <tuple>
#include <type_traits>

/// The fields of each message in the order in which they are encoded. The encoder and the decoder
/// use the same lists, so they cannot disagree.
namespace oriole::links {

template <class Value, class Message>
concept message_of = std::same_as<std::remove_const_t<Value>, Message>;

auto fields(message_of<statement> auto& m) {
    return std::tie(m.kind, m.row, m.value, m.amount);
}

auto fields(message_of<statement_result> auto& m) {
    return std::tie(m.row, m.value);
}

auto fields(message_of<execute_request> auto& m) {
    return std::tie(m.mode, m.term, m.statements, m.required, m.max_age, m.request_id);
}

auto fields(message_of<begin_request> auto& m) {
    return std::tie(m.term);
}

auto fields(message_of<commit_request> auto& m) {
    return std::tie(m.term, m.request_id);
}

auto fields(message_of<rollback_request> auto& /*m*/) {
    return std::tie();
}

auto fields(message_of<lookup_request> auto& m) {
    return std::tie(m.term, m.request_id);
}

auto fields(message_of<confirm_request> auto& m) {
    return std::tie(m.position, m.wait);
}

auto fields(message_of<probe_request> auto& /*m*/) {
    return std::tie();
}

auto fields(message_of<fence_request> auto& m) {
    return std::tie(m.term, m.promoter);
}

auto fields(message_of<member_address> auto& m) {
    return std::tie(m.server, m.control);
}

auto fields(message_of<promote_request> auto& m) {
    return std::tie(m.term, m.promoter, m.members);
}

auto fields(message_of<follow_request> auto& m) {
    return std::tie(m.term, m.primary);
}

auto fields(message_of<fetch_request> auto& m) {
    return std::tie(m.term, m.replica, m.from, m.wait);
}

auto fields(message_of<execute_answer> auto& m) {
    return std::tie(m.results, m.position, m.repeated, m.age);
}

auto fields(message_of<accepted_answer> auto& m) {
    return std::tie(m.term);
}

auto fields(message_of<lookup_answer> auto& m) {
    return std::tie(m.found, m.results, m.position);
}

auto fields(message_of<confirm_answer> auto& m) {
    return std::tie(m.holds);
}

auto fields(message_of<probe_answer> auto& m) {
    return std::tie(m.server, m.term, m.role, m.primary, m.held, m.applied, m.age, m.connections);
}

auto fields(message_of<fence_answer> auto& m) {
    return std::tie(m.term, m.held);
}

auto fields(message_of<log_entry> auto& m) {
    return std::tie(m.position, m.statements, m.request_id, m.results);
}

auto fields(message_of<fetch_answer> auto& m) {
    return std::tie(m.entries, m.last, m.age, m.truncate_to);
}

auto fields(message_of<refusal_answer> auto& m) {
    return std::tie(m.reason, m.term, m.message);
}

template <class Message>
concept has_fields = requires(Message& message) {
    fields(message);
};

} // namespace oriole::links
