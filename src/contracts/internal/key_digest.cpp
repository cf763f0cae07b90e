#include "contracts/key_digest.h"

#include "base/errors.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace oriole::contracts {
namespace {

constexpr std::size_t hex_digits = 2 * std::tuple_size_v<key_digest>;

/// Initialises libsodium, which selects its implementations for this processor, once per process.
void initialise_sodium() {
    static const bool ready = sodium_init() >= 0;
    if (!ready) {
        throw error("libsodium cannot be initialised, so keys cannot be checked");
    }
}

[[nodiscard]] bool is_lower_hex(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

key_digest digest_of_key(std::string_view key_text) {
    initialise_sodium();
    key_digest digest{};
    const auto* bytes = reinterpret_cast<const unsigned char*>(key_text.data());
    crypto_generichash(digest.data(), digest.size(), bytes, key_text.size(), nullptr, 0);
    return digest;
}

std::string to_hex(const key_digest& digest) {
    std::array<char, hex_digits + 1> text{};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

std::optional<key_digest> parse_key_digest(std::string_view text) {
    if (text.size() != hex_digits || !std::all_of(text.begin(), text.end(), is_lower_hex)) {
        return std::nullopt;
    }
    key_digest digest{};
    std::size_t written = 0;
    sodium_hex2bin(digest.data(), digest.size(), text.data(), text.size(), nullptr, &written,
                   nullptr);
    if (written != digest.size()) {
        return std::nullopt;
    }
    return digest;
}

bool equal_in_constant_time(const key_digest& left, const key_digest& right) {
    return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace oriole::contracts
