#include "entry/usage_message_codec.h"

#include "entry/internal/json_fields.h"

#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

using nlohmann::json;

/// Longest duration since an order that is read; longer ones are useless and might overflow.
constexpr std::int64_t max_age_us = std::int64_t{24} * 3600 * 1'000'000;

json encode_key(const usage::entry_key& key) {
    return {key.window, key.instance.str(), key.incarnation};
}

usage::entry_key decode_key(const json& in) {
    return {in.at(0).get<std::int64_t>(), instance_id(in.at(1).get<std::string>()),
            in.at(2).get<std::uint64_t>()};
}

json encode_totals(const usage::known_totals& totals) {
    auto out = json::array();
    for (const auto& [key, total] : totals) {
        auto item = encode_key(key);
        item.push_back(total);
        out.push_back(std::move(item));
    }
    return out;
}

usage::known_totals decode_totals(const json& in) {
    usage::known_totals totals;
    for (const auto& item : in) {
        totals[decode_key(item)] = item.at(3).get<std::uint64_t>();
    }
    return totals;
}

json encode_entries(const std::vector<usage::ledger_entry>& entries) {
    auto out = json::array();
    for (const auto& entry : entries) {
        auto counts = json::object();
        for (const auto& [account, count] : entry.counts) {
            counts[account.str()] = count;
        }
        auto item = encode_key(entry.key);
        item.push_back(entry.total);
        item.push_back(std::move(counts));
        out.push_back(std::move(item));
    }
    return out;
}

std::vector<usage::ledger_entry> decode_entries(const json& in) {
    std::vector<usage::ledger_entry> entries;
    for (const auto& item : in) {
        usage::ledger_entry entry;
        entry.key = decode_key(item);
        entry.total = item.at(3).get<std::uint64_t>();
        for (const auto& [account, count] : item.at(4).items()) {
            entry.counts[account_name(account)] = count.get<std::uint64_t>();
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

json encode_order(const usage::order_news& news) {
    return {{"window", news.window},
            {"fence", news.fence},
            {"holder", news.holder.str()},
            {"age", encode_duration(news.age)},
            {"accepted", news.accepted}};
}

usage::order_news decode_order(const json& in) {
    usage::order_news news;
    news.window = in.at("window").get<std::int64_t>();
    news.fence = in.at("fence").get<std::uint64_t>();
    news.holder = instance_id(in.at("holder").get<std::string>());
    const auto age = in.at("age").get<std::int64_t>();
    if (age < 0 || age > max_age_us) {
        throw report_unreadable("age of a usage order out of range");
    }
    news.age = std::chrono::microseconds(age);
    news.accepted = in.at("accepted").get<bool>();
    return news;
}

void add_order(json& out, const usage::order_news& news) {
    if (news.fence != 0) {
        out["order"] = encode_order(news);
    }
}

usage::order_news order_in(const json& in) {
    return in.contains("order") ? decode_order(in.at("order")) : usage::order_news{};
}

/// Parses the text and applies `decode` to it.
template <class Decoder>
auto decode_text(const std::string& text, Decoder decode) {
    try {
        return decode(json::parse(text));
    } catch (const json::exception& failure) {
        throw report_unreadable(failure.what());
    }
}

} // namespace

std::string encode_counts(const usage::counts_message& message) {
    json out{{"entries", encode_entries(message.entries)}, {"relayed", message.relayed}};
    add_order(out, message.order);
    return out.dump();
}

usage::counts_message decode_counts(const std::string& text) {
    return decode_text(text, [](const json& in) {
        return usage::counts_message{decode_entries(in.at("entries")), in.at("relayed").get<bool>(),
                                     order_in(in)};
    });
}

std::string encode_receipt(const usage::counts_receipt& receipt) {
    json out{{"totals", encode_totals(receipt.totals)}};
    add_order(out, receipt.order);
    return out.dump();
}

usage::counts_receipt decode_receipt(const std::string& text) {
    return decode_text(text, [](const json& in) {
        return usage::counts_receipt{decode_totals(in.at("totals")), order_in(in)};
    });
}

std::string encode_entries_request(const usage::entries_request& request) {
    return json{{"window", request.window}, {"totals", encode_totals(request.totals)}}.dump();
}

usage::entries_request decode_entries_request(const std::string& text) {
    return decode_text(text, [](const json& in) {
        return usage::entries_request{in.at("window").get<std::int64_t>(),
                                      decode_totals(in.at("totals"))};
    });
}

std::string encode_entries_answer(const usage::entries_answer& answer) {
    return json{{"entries", encode_entries(answer.entries)}, {"first", answer.first_whole_window}}
        .dump();
}

usage::entries_answer decode_entries_answer(const std::string& text) {
    return decode_text(text, [](const json& in) {
        return usage::entries_answer{decode_entries(in.at("entries")),
                                     in.at("first").get<std::int64_t>()};
    });
}

std::string encode_order_news(const usage::order_news& news) {
    return encode_order(news).dump();
}

usage::order_news decode_order_news(const std::string& text) {
    return decode_text(text, [](const json& in) { return decode_order(in); });
}

} // namespace oriole::entry
