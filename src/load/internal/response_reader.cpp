#include "load/internal/response_reader.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace oriole::load {
namespace {

using machines::statement_kind;
using nlohmann::json;

json to_json(const machines::statement& item) {
    switch (item.kind) {
    case statement_kind::put:
        return {{"op", "put"}, {"row", item.row}, {"value", item.value}};
    case statement_kind::add:
        return {{"op", "add"}, {"row", item.row}, {"amount", item.amount}};
    case statement_kind::get:
        break;
    }
    return {{"op", "get"}, {"row", item.row}};
}

std::optional<outcome> to_outcome(std::string_view text) {
    for (const auto value : {outcome::done, outcome::not_run, outcome::unknown}) {
        if (to_string(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

void read_body(const json& body, execution_result& read) {
    for (const auto& item : body.value("results", json::array())) {
        const auto& value = item.at("value");
        read.results.push_back(
            {item.at("row").get<std::string>(),
             value.is_null()
                 ? std::nullopt
                 : std::optional(value.is_string() ? value.get<std::string>() : value.dump())});
    }
    read.by_replica = body.value("served_by", "") == "replica";
    if (body.contains("error")) {
        read.reason = body["error"].value("reason", "");
    }
}

} // namespace

std::string encode_statements(const std::vector<machines::statement>& statements) {
    json list = json::array();
    for (const auto& item : statements) {
        list.push_back(to_json(item));
    }
    return json{{"statements", list}}.dump();
}

execution_result read_response(const http_response& response) {
    execution_result read;
    read.status = static_cast<int>(response.result_int());
    const auto told = response["Oriole-Outcome"];
    read.result = to_outcome({told.data(), told.size()});
    try {
        read_body(json::parse(response.body()), read);
    } catch (const json::exception& failure) {
        read.results.clear();
        read.reason = failure.what();
    }
    return read;
}

} // namespace oriole::load
