#pragma once

#include "entry/peer_report_codec.h"
#include "usage/types/usage_messages.h"

#include <string>

namespace oriole::entry {

/// JSON encoding of the messages by which instances bring the counts of usage together. The
/// decoders throw report_unreadable. Thread-safe.

[[nodiscard]] std::string encode_counts(const usage::counts_message& message);
[[nodiscard]] usage::counts_message decode_counts(const std::string& text);

[[nodiscard]] std::string encode_receipt(const usage::counts_receipt& receipt);
[[nodiscard]] usage::counts_receipt decode_receipt(const std::string& text);

[[nodiscard]] std::string encode_entries_request(const usage::entries_request& request);
[[nodiscard]] usage::entries_request decode_entries_request(const std::string& text);

[[nodiscard]] std::string encode_entries_answer(const usage::entries_answer& answer);
[[nodiscard]] usage::entries_answer decode_entries_answer(const std::string& text);

[[nodiscard]] std::string encode_order_news(const usage::order_news& news);
[[nodiscard]] usage::order_news decode_order_news(const std::string& text);

} // namespace oriole::entry
