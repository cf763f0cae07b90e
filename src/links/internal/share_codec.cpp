#include "links/share_codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <utility>

namespace oriole::links {
namespace {

using contracts::account_parts;
using contracts::loan_transfer;
using contracts::share_holder;
using contracts::share_ledger;
using contracts::share_parts;
using contracts::share_purpose;
using nlohmann::json;

constexpr std::array<std::pair<share_purpose, const char*>, 4> purposes{
    {{share_purpose::renew, "renew"},
     {share_purpose::leave, "leave"},
     {share_purpose::sublease, "trade"},
     {share_purpose::zone, "zone"}}};

/// Bounds the slot counts used in arithmetic. Up to this number of slots, the guaranteed floor of
/// each slot is at least one part.
constexpr std::uint64_t max_fleet_slots = 100'000;

json to_json(share_purpose value) {
    for (const auto& [purpose, name] : purposes) {
        if (purpose == value) {
            return name;
        }
    }
    throw decode_error("unknown purpose of a share message");
}

share_purpose purpose_from(const json& value) {
    for (const auto& [purpose, name] : purposes) {
        if (value == name) {
            return purpose;
        }
    }
    throw decode_error("unknown purpose of a share message");
}

/// Checks the type because nlohmann-json silently converts negative numbers and fractions.
std::uint64_t count_from(const json& value,
                         std::uint64_t max_value = std::numeric_limits<std::uint64_t>::max()) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_value) {
        throw decode_error("expected an unsigned integer of at most " + std::to_string(max_value) +
                           " in the JSON text of a share message, ledger or plan");
    }
    return value.get<std::uint64_t>();
}

std::uint32_t slots_from(const json& value, std::uint64_t max_value) {
    return static_cast<std::uint32_t>(count_from(value, max_value));
}

share_parts parts_from(const json& value) {
    return static_cast<share_parts>(count_from(value, contracts::whole_share));
}

share_parts change_from(const json& value) {
    const bool in_range = value.is_number_integer() &&
                          value.get<std::int64_t>() >= -contracts::whole_share &&
                          value.get<std::int64_t>() <= contracts::whole_share;
    if (!in_range) {
        throw decode_error(
            "a loan change is not an integer between plus and minus the whole share");
    }
    return value.get<std::int64_t>();
}

std::chrono::milliseconds time_from(const json& value) {
    const auto max_value = std::numeric_limits<std::int32_t>::max();
    return std::chrono::milliseconds(count_from(value, static_cast<std::uint64_t>(max_value)));
}

template <class Name>
Name name_from(const json& value) {
    return Name{value.get<std::string>()};
}

json to_json(const loan_transfer& transfer) {
    return {{"sequence", transfer.sequence()},
            {"account", transfer.account().str()},
            {"parts", transfer.parts()}};
}

loan_transfer transfer_from(const json& value) {
    return {count_from(value.at("sequence")), name_from<account_name>(value.at("account")),
            parts_from(value.at("parts"))};
}

json to_json(const account_parts& parts) {
    json object = json::object();
    for (const auto& [account, amount] : parts) {
        object[account.str()] = amount;
    }
    return object;
}

template <class Key, class Value, class Read>
std::map<Key, Value> map_from(const json& object, Read read) {
    if (!object.is_object()) {
        throw decode_error(
            "expected an object in the JSON text of a share message, ledger or plan");
    }
    std::map<Key, Value> values;
    for (const auto& [name, value] : object.items()) {
        values.emplace(Key{name}, read(value));
    }
    return values;
}

template <class Value, class Read>
std::vector<Value> list_from(const json& array, Read read) {
    if (!array.is_array()) {
        throw decode_error("expected an array in the JSON text of a share message, ledger or plan");
    }
    std::vector<Value> values;
    for (const auto& value : array) {
        values.push_back(read(value));
    }
    return values;
}

json to_json(const contracts::account_request& request) {
    return {
        {"account", request.account.str()}, {"keep", request.retained}, {"wanted", request.wanted}};
}

contracts::account_request account_request_from(const json& value) {
    return {name_from<account_name>(value.at("account")), parts_from(value.at("keep")),
            parts_from(value.at("wanted"))};
}

json to_json(const contracts::share_grant& grant) {
    return {{"account", grant.account.str()}, {"parts", grant.parts}, {"target", grant.target}};
}

contracts::share_grant grant_from(const json& value) {
    return {name_from<account_name>(value.at("account")), parts_from(value.at("parts")),
            parts_from(value.at("target"))};
}

template <class List>
json list_json(const List& values) {
    json list = json::array();
    for (const auto& value : values) {
        list.push_back(to_json(value));
    }
    return list;
}

json to_json(const share_holder& holder) {
    json object = {{"sequence", holder.sequence()}, {"loans", to_json(holder.loans())}};
    if (holder.slot()) {
        object["slot"] = *holder.slot();
    }
    return object;
}

share_holder holder_from(const json& value, std::uint32_t slots) {
    std::optional<std::uint32_t> slot;
    if (value.contains("slot")) {
        slot = slots_from(value.at("slot"), std::uint64_t{slots} - 1);
        if (slots == 0) {
            throw decode_error("a share ledger with 0 slots assigns a slot to a holder");
        }
    }
    return {count_from(value.at("sequence")), slot,
            map_from<account_name, share_parts>(value.at("loans"), parts_from)};
}

json sequences_json(const std::map<zone_name, std::uint64_t>& sequences) {
    json object = json::object();
    for (const auto& [zone, sequence] : sequences) {
        object[zone.str()] = sequence;
    }
    return object;
}

void add_transfers(const json& value, share_ledger::builder& ledger) {
    const auto read_transfers = [](const json& list) {
        return list_from<loan_transfer>(list, transfer_from);
    };
    const auto read_sequence = [](const json& sequence) { return count_from(sequence); };
    auto sent = map_from<zone_name, std::vector<loan_transfer>>(value.at("sent"), read_transfers);
    const auto last = map_from<zone_name, std::uint64_t>(value.at("last_sent"), read_sequence);
    for (const auto& [zone, sequence] : last) {
        const auto waiting = sent.find(zone);
        ledger.sent(zone, waiting == sent.end() ? std::vector<loan_transfer>{} : waiting->second,
                    sequence);
        sent.erase(zone);
    }
    if (!sent.empty()) {
        throw decode_error(
            "a share ledger has sent transfers for a zone that has no entry in last_sent");
    }
    for (const auto& [zone, sequence] :
         map_from<zone_name, std::uint64_t>(value.at("received"), read_sequence)) {
        ledger.received(zone, sequence);
    }
}

share_ledger ledger_from(const json& value) {
    const auto fleet_slots = slots_from(value.at("fleet_slots"), max_fleet_slots);
    const auto slots = slots_from(value.at("slots"), fleet_slots);
    const auto initial_loan = parts_from(value.at("initial_loan"));
    if (fleet_slots == 0 || initial_loan > contracts::loan_half) {
        throw decode_error(
            "in a share ledger, fleet_slots is 0 or initial_loan is above its limit");
    }
    share_ledger::builder ledger(share_ledger(slots, fleet_slots, initial_loan));
    const auto read_holder = [slots](const json& holder) { return holder_from(holder, slots); };
    for (auto& [id, holder] :
         map_from<instance_id, share_holder>(value.at("holders"), read_holder)) {
        ledger.holder(id, holder);
    }
    for (const auto& [account, change] :
         map_from<account_name, share_parts>(value.at("loan_changes"), change_from)) {
        ledger.loan_change(account, change);
    }
    add_transfers(value, ledger);
    return ledger.build();
}

template <class Read>
auto decode(const std::string& text, Read read) {
    try {
        return read(json::parse(text));
    } catch (const json::exception& problem) {
        throw decode_error(std::string("invalid JSON text of a share message, ledger or plan: ") +
                           problem.what());
    }
}

} // namespace

std::string encode_share_request(const contracts::share_request& request) {
    return json{
        {"asker", request.requester.str()},    {"zone", request.zone.str()},
        {"purpose", to_json(request.purpose)}, {"sequence", request.sequence},
        {"received", request.received},        {"wishes", list_json(request.account_requests)}}
        .dump();
}

contracts::share_request decode_share_request(const std::string& text) {
    return decode(text, [](const json& value) {
        return contracts::share_request{
            name_from<instance_id>(value.at("asker")),
            name_from<zone_name>(value.at("zone")),
            purpose_from(value.at("purpose")),
            count_from(value.at("sequence")),
            count_from(value.at("received")),
            list_from<contracts::account_request>(value.at("wishes"), account_request_from)};
    });
}

std::string encode_share_response(const contracts::share_response& response) {
    return json{{"giver", response.responder.str()},
                {"zone", response.zone.str()},
                {"purpose", to_json(response.purpose)},
                {"sequence", response.sequence},
                {"floor", response.floor},
                {"lease", response.lease.count()},
                {"next_round", response.next_round.count()},
                {"grants", list_json(response.grants)},
                {"transfers", list_json(response.transfers)}}
        .dump();
}

contracts::share_response decode_share_response(const std::string& text) {
    return decode(text, [](const json& value) {
        return contracts::share_response{
            name_from<instance_id>(value.at("giver")),
            name_from<zone_name>(value.at("zone")),
            purpose_from(value.at("purpose")),
            count_from(value.at("sequence")),
            parts_from(value.at("floor")),
            time_from(value.at("lease")),
            time_from(value.at("next_round")),
            list_from<contracts::share_grant>(value.at("grants"), grant_from),
            list_from<loan_transfer>(value.at("transfers"), transfer_from)};
    });
}

std::string encode_share_ledger(const share_ledger& ledger) {
    json holders = json::object();
    for (const auto& [id, holder] : ledger.holders()) {
        holders[id.str()] = to_json(holder);
    }
    json sent = json::object();
    for (const auto& [zone, transfers] : ledger.sent()) {
        sent[zone.str()] = list_json(transfers);
    }
    return json{{"slots", ledger.slots()},
                {"fleet_slots", ledger.fleet_slots()},
                {"initial_loan", ledger.initial_loan()},
                {"holders", holders},
                {"loan_changes", to_json(ledger.loan_changes())},
                {"sent", sent},
                {"last_sent", sequences_json(ledger.last_sent())},
                {"received", sequences_json(ledger.received())}}
        .dump();
}

share_ledger decode_share_ledger(const std::string& text) {
    return decode(text, ledger_from);
}

std::string encode_share_plan(const contracts::share_plan& plan) {
    json zones = json::array();
    for (const auto& zone : plan.zones()) {
        zones.push_back(zone.str());
    }
    return json{{"slots_per_zone", plan.slots_per_zone()}, {"zones", zones}}.dump();
}

contracts::share_plan decode_share_plan(const std::string& text) {
    return decode(text, [](const json& value) {
        const auto zones = list_from<zone_name>(value.at("zones"), name_from<zone_name>);
        const auto slots = slots_from(value.at("slots_per_zone"), max_fleet_slots);
        if (zones.empty() || slots == 0 || slots * zones.size() > max_fleet_slots) {
            throw decode_error(
                "a share plan needs at least one zone and from 1 to 100000 slots in total");
        }
        return contracts::share_plan(slots, {zones.begin(), zones.end()});
    });
}

} // namespace oriole::links
