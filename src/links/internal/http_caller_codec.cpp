#include "links/internal/http_caller_codec.h"

#include "links/session_token_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace oriole::links {
namespace {

namespace http = boost::beast::http;
using machines::statement;
using machines::statement_kind;
using nlohmann::json;

constexpr std::string_view api_prefix = "/v1/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view session_header = "Oriole-Session";
constexpr std::string_view outcome_header = "Oriole-Outcome";
constexpr std::string_view idempotency_header = "Idempotency-Key";
constexpr std::string_view deadline_header = "Oriole-Deadline-Ms";
constexpr std::size_t max_statements = 64;
constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_request_id_length = 128;
constexpr std::size_t max_row_length = 256;
constexpr long max_deadline_ms = 60'000;

/// Exception that the decoding functions throw to make decode_caller_request return `answer`.
struct refused {
    caller_answer answer;
};

[[noreturn]] void refuse(answer_code code, std::string reason) {
    throw refused{refusal(code, std::move(reason))};
}

std::string_view header(const http_request& message, std::string_view name) {
    const auto found = message.find(name);
    return found == message.end() ? std::string_view{} : found->value();
}

bool has_only(std::string_view text, std::string_view extra) {
    return std::all_of(text.begin(), text.end(), [extra](char c) {
        const bool lower = c >= 'a' && c <= 'z';
        const bool upper = c >= 'A' && c <= 'Z';
        const bool digit = c >= '0' && c <= '9';
        return lower || upper || digit || extra.find(c) != std::string_view::npos;
    });
}

std::string checked_name(std::string_view text) {
    if (text.empty() || text.size() > max_name_length || !has_only(text, "-")) {
        refuse(answer_code::not_found, "the path does not name a service");
    }
    return std::string(text);
}

std::string checked_request_id(std::string_view text) {
    if (text.size() > max_request_id_length || !has_only(text, "-_.")) {
        refuse(answer_code::malformed,
               "an idempotency key has at most 128 letters, digits, '-', '_' and '.'");
    }
    return std::string(text);
}

void expect_method(const http_request& message, http::verb expected) {
    if (message.method() != expected) {
        refuse(answer_code::unsupported_method,
               "this path takes only " + std::string(http::to_string(expected)));
    }
}

std::vector<std::string_view> split_path(std::string_view path) {
    std::vector<std::string_view> parts;
    while (true) {
        const auto slash = path.find('/');
        parts.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return parts;
        }
        path.remove_prefix(slash + 1);
    }
}

void decode_service_call(const http_request& message, const std::vector<std::string_view>& parts,
                         caller_request& request) {
    request.service = service_name{checked_name(parts[1])};
    if (parts.size() == 2) {
        expect_method(message, http::verb::post);
        request.call = caller_call::run;
        return;
    }
    if (parts.size() == 3 && parts[2] == "transactions") {
        expect_method(message, http::verb::post);
        request.call = caller_call::begin;
        return;
    }
    if (parts.size() == 4 && parts[2] == "outcomes" && !parts[3].empty()) {
        const bool cancel = message.method() == http::verb::post;
        if (!cancel) {
            expect_method(message, http::verb::get);
        }
        request.call = cancel ? caller_call::cancel : caller_call::lookup;
        request.request_id = checked_request_id(parts[3]);
        return;
    }
    refuse(answer_code::not_found, "there is no such path");
}

void decode_transaction_call(const http_request& message,
                             const std::vector<std::string_view>& parts, caller_request& request) {
    request.transaction = std::string(parts[1]);
    if (parts.size() == 2) {
        request.call = caller_call::add;
    } else if (parts.size() == 3 && parts[2] == "commit") {
        request.call = caller_call::commit;
    } else if (parts.size() == 3 && parts[2] == "rollback") {
        request.call = caller_call::rollback;
    } else {
        refuse(answer_code::not_found, "there is no such path");
    }
    expect_method(message, http::verb::post);
}

void decode_target(const http_request& message, caller_request& request) {
    const std::string_view target = message.target();
    if (!target.starts_with(api_prefix)) {
        refuse(answer_code::not_found, "there is no such path");
    }
    const auto parts = split_path(target.substr(api_prefix.size()));
    if (parts.size() >= 2 && parts[0] == "services") {
        decode_service_call(message, parts, request);
        return;
    }
    if (parts.size() >= 2 && parts[0] == "transactions") {
        decode_transaction_call(message, parts, request);
        return;
    }
    refuse(answer_code::not_found, "there is no such path");
}

void decode_headers(const http_request& message, caller_request& request) {
    const std::string_view authorization = header(message, "Authorization");
    if (!authorization.empty()) {
        if (!authorization.starts_with(bearer_prefix)) {
            refuse(answer_code::unauthenticated, "the Authorization header needs 'Bearer KEY'");
        }
        request.key = std::string(authorization.substr(bearer_prefix.size()));
    }
    const std::string_view session = header(message, session_header);
    if (!session.empty()) {
        auto token = decode_session_token(session);
        if (!token) {
            refuse(answer_code::malformed, "the Oriole-Session header is not a session token");
        }
        request.session = std::move(*token);
    }
    if (request.request_id.empty()) {
        request.request_id = checked_request_id(header(message, idempotency_header));
    }
    const std::string_view deadline = header(message, deadline_header);
    if (deadline.empty()) {
        return;
    }
    long milliseconds = 0;
    const char* end = deadline.data() + deadline.size();
    const auto parsed = std::from_chars(deadline.data(), end, milliseconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds < 1 ||
        milliseconds > max_deadline_ms) {
        refuse(answer_code::malformed, "Oriole-Deadline-Ms takes 1 to 60000");
    }
    request.deadline = std::chrono::milliseconds(milliseconds);
}

void expect_fields(const json& object, std::initializer_list<std::string_view> allowed) {
    for (const auto& item : object.items()) {
        if (std::find(allowed.begin(), allowed.end(), item.key()) == allowed.end()) {
            refuse(answer_code::malformed, "a statement has an unknown field");
        }
    }
}

std::string string_field(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        refuse(answer_code::malformed, std::string("a statement needs the string field ") + name);
    }
    return found->get<std::string>();
}

statement decode_statement(const json& object) {
    if (!object.is_object()) {
        refuse(answer_code::malformed, "a statement is a JSON object");
    }
    statement decoded;
    const std::string op = string_field(object, "op");
    decoded.row = string_field(object, "row");
    if (decoded.row.empty() || decoded.row.size() > max_row_length) {
        refuse(answer_code::malformed, "a row's name has 1 to 256 bytes");
    }
    if (op == "get") {
        expect_fields(object, {"op", "row"});
        return decoded;
    }
    if (op == "put") {
        expect_fields(object, {"op", "row", "value"});
        decoded.kind = statement_kind::put;
        decoded.value = string_field(object, "value");
        return decoded;
    }
    if (op == "add") {
        expect_fields(object, {"op", "row", "amount"});
        decoded.kind = statement_kind::add;
        const auto amount = object.find("amount");
        if (amount == object.end() || !amount->is_number_integer()) {
            refuse(answer_code::malformed, "add needs the integer field amount");
        }
        decoded.amount = amount->get<std::int64_t>();
        return decoded;
    }
    refuse(answer_code::malformed, "a statement's op is get, put or add");
}

void decode_statements(const http_request& message, caller_request& request) {
    const json body = json::parse(message.body(), nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        refuse(answer_code::malformed, "the body is not a JSON object");
    }
    const auto list = body.find("statements");
    if (list == body.end() || !list->is_array() || body.size() != 1) {
        refuse(answer_code::malformed, "the body needs exactly the array field statements");
    }
    if (list->empty() || list->size() > max_statements) {
        refuse(answer_code::malformed, "a request has 1 to 64 statements");
    }
    request.statements.reserve(list->size());
    for (const json& item : *list) {
        request.statements.push_back(decode_statement(item));
    }
}

http::status to_status(answer_code code) {
    switch (code) {
    case answer_code::ok:
        return http::status::ok;
    case answer_code::malformed:
        return http::status::bad_request;
    case answer_code::unauthenticated:
        return http::status::unauthorized;
    case answer_code::forbidden:
        return http::status::forbidden;
    case answer_code::not_found:
        return http::status::not_found;
    case answer_code::unsupported_method:
        return http::status::method_not_allowed;
    case answer_code::conflict:
        return http::status::conflict;
    case answer_code::too_large:
        return http::status::payload_too_large;
    case answer_code::over_rate:
        return http::status::too_many_requests;
    case answer_code::headers_too_large:
        return http::status::request_header_fields_too_large;
    case answer_code::unavailable:
        return http::status::service_unavailable;
    case answer_code::outcome_unknown:
        return http::status::gateway_timeout;
    }
    return http::status::internal_server_error;
}

json encode_results(const std::vector<machines::statement_result>& results) {
    json list = json::array();
    for (const auto& result : results) {
        json item = {{"row", result.row}};
        item["value"] = result.value ? json(*result.value) : json(nullptr);
        list.push_back(std::move(item));
    }
    return list;
}

json encode_body(const caller_answer& answer) {
    json body = json::object();
    if (answer.code == answer_code::ok) {
        body["results"] = encode_results(answer.results);
        if (answer.served_by) {
            body["served_by"] = std::string(machines::to_string(*answer.served_by));
        }
    } else {
        body["error"] = {{"code", static_cast<unsigned>(to_status(answer.code))},
                         {"reason", answer.reason}};
    }
    if (!answer.transaction.empty()) {
        body["transaction"] = answer.transaction;
    }
    if (!answer.request_id.empty()) {
        body["request_id"] = answer.request_id;
    }
    return body;
}

} // namespace

std::variant<caller_request, caller_answer> decode_caller_request(const http_request& message) {
    try {
        caller_request request;
        decode_target(message, request);
        decode_headers(message, request);
        if (request.call == caller_call::run || request.call == caller_call::add) {
            decode_statements(message, request);
        }
        return request;
    } catch (const refused& refusal) {
        return refusal.answer;
    }
}

http_response encode_caller_answer(const caller_answer& answer, unsigned version, bool keep_alive) {
    http_response message(to_status(answer.code), version);
    message.set(http::field::content_type, "application/json");
    message.set(outcome_header, to_string(answer.result));
    if (!answer.session.positions().empty()) {
        message.set(session_header, encode_session_token(answer.session));
    }
    if (answer.retry_after) {
        constexpr std::int64_t ms_per_second = 1000;
        const auto seconds = (answer.retry_after->count() + ms_per_second - 1) / ms_per_second;
        message.set(http::field::retry_after, std::to_string(seconds));
    }
    // Row values are arbitrary bytes; invalid UTF-8 in them must not make the encoding throw.
    message.body() = encode_body(answer).dump(-1, ' ', false, json::error_handler_t::replace);
    message.keep_alive(keep_alive && !answer.close);
    message.prepare_payload();
    return message;
}

} // namespace oriole::links
