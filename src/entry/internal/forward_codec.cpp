#include "entry/forward_codec.h"

#include "base/message_text.h"
#include "entry/internal/json_fields.h"
#include "entry/peer_report_codec.h"

#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

using nlohmann::json;

json encode_position_or_null(const std::optional<machines::log_position>& position) {
    return position ? encode_position(*position) : json();
}

std::optional<machines::log_position> decode_position_or_null(const json& in) {
    return in.is_null() ? std::nullopt : std::optional(decode_position(in));
}

/// Decodes bytes that may become the last field of a message. Throws report_unreadable for bytes
/// that would end it.
std::string decode_text(const json& in) {
    auto text = decode_bytes(in);
    if (!is_message_text(text)) {
        throw report_unreadable("a text contains CR LF, which ends a message");
    }
    return text;
}

/// Decodes bytes that may become a field that others follow; they may be empty. Throws
/// report_unreadable.
std::string decode_word(const json& in) {
    auto word = decode_text(in);
    if (!word.empty() && !is_message_word(word)) {
        throw report_unreadable("a word contains a blank, which ends a field of a message");
    }
    return word;
}

/// Decodes the name of an object; it may be empty. Throws report_unreadable.
std::string decode_name(const json& in) {
    auto name = in.get<std::string>();
    if (!name.empty() && !is_object_name(name)) {
        throw report_unreadable("the name of an object contains a blank or a control character");
    }
    return name;
}

json encode_statement(const sessions::statement& value) {
    return {{"id", encode_bytes(value.id)},
            {"text", encode_bytes(value.text)},
            {"kind", static_cast<int>(value.kind)},
            {"name", encode_bytes(value.name)},
            {"argument", encode_bytes(value.argument)},
            {"shape", encode_bytes(value.shape)},
            {"writes", value.writes}};
}

sessions::statement decode_statement(const json& in) {
    sessions::statement value;
    value.id = decode_word(in.at("id"));
    value.text = decode_text(in.at("text"));
    value.kind = decode_enum(in.at("kind"), sessions::statement_kind::malformed);
    value.name = decode_word(in.at("name"));
    value.argument = decode_text(in.at("argument"));
    value.shape = decode_word(in.at("shape"));
    value.writes = in.at("writes").get<bool>();
    return value;
}

json encode_decision(const sessions::session_decision& value) {
    json out{{"step", static_cast<int>(value.step)}, {"writes", value.writes}};
    if (value.shape) {
        out["shape"] = {encode_bytes(value.shape->shape), value.shape->writes};
    }
    return out;
}

sessions::session_decision decode_decision(const json& in) {
    sessions::session_decision value;
    value.step = decode_enum(in.at("step"), sessions::session_step::roll_back);
    value.writes = in.at("writes").get<bool>();
    if (in.contains("shape")) {
        const auto& shape = in.at("shape");
        value.shape =
            sessions::prepared_statement{decode_word(shape.at(0)), shape.at(1).get<bool>()};
    }
    return value;
}

json encode_values(const sessions::session_values& values) {
    json out = json::array();
    for (const auto& [name, value] : values) {
        out.push_back({encode_bytes(name), encode_bytes(value)});
    }
    return out;
}

sessions::session_values decode_values(const json& in) {
    sessions::session_values values;
    for (const auto& item : in) {
        values[decode_word(item.at(0))] = decode_text(item.at(1));
    }
    return values;
}

json encode_rows(const std::vector<std::string>& rows) {
    json out = json::array();
    for (const auto& row : rows) {
        out.push_back(encode_bytes(row));
    }
    return out;
}

json encode_answer(const sessions::server_answer& answer) {
    return {{"code", static_cast<int>(answer.code)},
            {"rows", encode_rows(answer.rows)},
            {"signature", encode_bytes(answer.signature)},
            {"state", static_cast<int>(answer.state)},
            {"position", encode_position_or_null(answer.position)}};
}

sessions::server_answer decode_answer(const json& in) {
    sessions::server_answer answer;
    answer.code = decode_enum(in.at("code"), sessions::answer_code::malformed);
    for (const auto& row : in.at("rows")) {
        answer.rows.push_back(decode_text(row));
    }
    answer.signature = decode_text(in.at("signature"));
    answer.state = decode_enum(in.at("state"), sessions::transaction_state::failed);
    answer.position = decode_position_or_null(in.at("position"));
    return answer;
}

} // namespace

std::string encode_forwarded(const forwarded_statement& forwarded) {
    const json out{{"place", static_cast<int>(forwarded.phase)},
                   {"reads_only", forwarded.reads_only},
                   {"transaction", forwarded.transaction},
                   {"route", encode_route(forwarded.route)},
                   {"account", forwarded.account.str()},
                   {"statement", encode_statement(forwarded.statement)},
                   {"decision", encode_decision(forwarded.decision)},
                   {"values", encode_values(forwarded.values)},
                   {"own_commit", encode_position_or_null(forwarded.own_commit)},
                   {"elapsed", encode_duration(forwarded.elapsed)}};
    return out.dump();
}

forwarded_statement decode_forwarded(const std::string& text) {
    try {
        const auto in = json::parse(text);
        forwarded_statement forwarded;
        forwarded.phase = decode_enum(in.at("place"), transaction_phase::next);
        forwarded.reads_only = in.at("reads_only").get<bool>();
        forwarded.transaction = in.at("transaction").get<std::uint64_t>();
        forwarded.route = decode_route(in.at("route"));
        forwarded.account = account_name(decode_name(in.at("account")));
        forwarded.statement = decode_statement(in.at("statement"));
        forwarded.decision = decode_decision(in.at("decision"));
        forwarded.values = decode_values(in.at("values"));
        forwarded.own_commit = decode_position_or_null(in.at("own_commit"));
        forwarded.elapsed = decode_duration(in.at("elapsed"));
        return forwarded;
    } catch (const json::exception& failure) {
        throw report_unreadable(failure.what());
    }
}

std::string encode_outcome(const forwarded_outcome& outcome) {
    const json out{{"answer", encode_answer(outcome.answer)},
                   {"server", outcome.server.str()},
                   {"attempts", outcome.attempts},
                   {"form", outcome.routing_basis},
                   {"required", encode_position_or_null(outcome.required)},
                   {"transaction", outcome.transaction},
                   {"over", outcome.transaction_finished},
                   {"too_long", outcome.answer_too_long}};
    return out.dump();
}

forwarded_outcome decode_outcome(const std::string& text) {
    try {
        const auto in = json::parse(text);
        forwarded_outcome outcome;
        outcome.answer = decode_answer(in.at("answer"));
        outcome.server = server_name(decode_name(in.at("server")));
        outcome.attempts = in.at("attempts").get<int>();
        outcome.routing_basis = in.at("form").get<std::string>();
        outcome.required = decode_position_or_null(in.at("required"));
        outcome.transaction = in.at("transaction").get<std::uint64_t>();
        outcome.transaction_finished = in.at("over").get<bool>();
        outcome.answer_too_long = in.value("too_long", false);
        return outcome;
    } catch (const json::exception& failure) {
        throw report_unreadable(failure.what());
    }
}

} // namespace oriole::entry
