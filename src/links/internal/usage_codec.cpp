#include "links/usage_codec.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace oriole::links {
namespace {

using contracts::access_mode;
using nlohmann::json;

json row_json(const contracts::usage_key& key, const contracts::usage_amount& amount) {
    return {{"account", key.account().str()},
            {"service", key.service().str()},
            {"kind", key.kind() == access_mode::read ? "read" : "write"},
            {"requests", amount.requests()},
            {"weight", amount.weight()}};
}

access_mode kind_from(const json& value) {
    if (value == "read") {
        return access_mode::read;
    }
    if (value == "write") {
        return access_mode::write;
    }
    throw decode_error("the kind of request in a usage record is neither read nor write");
}

/// Checks the type because nlohmann-json silently converts negative numbers and fractions.
std::uint64_t count_from(const json& value) {
    if (!value.is_number_unsigned()) {
        throw decode_error("expected an unsigned integer in a usage record");
    }
    return value.get<std::uint64_t>();
}

double weight_from(const json& value) {
    const auto weight = value.get<double>();
    if (!std::isfinite(weight) || weight < 0) {
        throw decode_error("the weight in a usage record is negative or not finite");
    }
    return weight;
}

} // namespace

std::string encode_usage_record(const contracts::usage_record& record) {
    json totals = json::array();
    for (const auto& [key, amount] : record.totals()) {
        totals.push_back(row_json(key, amount));
    }
    return json{
        {"instance", record.instance().str()}, {"sequence", record.sequence()}, {"totals", totals}}
        .dump();
}

contracts::usage_record decode_usage_record(const std::string& text) {
    try {
        const json value = json::parse(text);
        contracts::usage_table totals;
        for (const auto& row : value.at("totals")) {
            const contracts::usage_key key(account_name{row.at("account").get<std::string>()},
                                           service_name{row.at("service").get<std::string>()},
                                           kind_from(row.at("kind")));
            totals[key] = {count_from(row.at("requests")), weight_from(row.at("weight"))};
        }
        return {instance_id{value.at("instance").get<std::string>()},
                count_from(value.at("sequence")), std::move(totals)};
    } catch (const json::exception& problem) {
        throw decode_error(std::string("invalid usage record: ") + problem.what());
    }
}

} // namespace oriole::links
