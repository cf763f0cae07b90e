#pragma once

#include "base/types/name.h"

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oriole::app {

/// The instance and traffic thread that own an open transaction. A transaction id starts with
/// "INSTANCE.THREAD.", so that every traffic thread can forward requests to the owner.
struct transaction_address {
    instance_id instance;
    std::size_t thread = 0;

    [[nodiscard]] std::string prefix() const {
        return instance.str() + "." + std::to_string(thread) + ".";
    }

    /// Returns nullopt when `id` does not have this form.
    [[nodiscard]] static std::optional<transaction_address> parse(std::string_view id) {
        const auto first = id.find('.');
        const auto second = first == std::string_view::npos ? first : id.find('.', first + 1);
        if (second == std::string_view::npos) {
            return std::nullopt;
        }
        transaction_address address;
        address.instance = instance_id{std::string(id.substr(0, first))};
        const char* end = id.data() + second;
        const auto parsed = std::from_chars(id.data() + first + 1, end, address.thread);
        if (parsed.ec != std::errc{} || parsed.ptr != end) {
            return std::nullopt;
        }
        return address;
    }

    friend bool operator==(const transaction_address&, const transaction_address&) = default;
};

} // namespace oriole::app
