#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace oriole {

/// An IP address and a TCP port. Immutable; safe to read from any thread.
class endpoint {
public:
    endpoint() = default;

    endpoint(std::string address, std::uint16_t port)
        : m_address(std::move(address)), m_port(port) {}

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }

    [[nodiscard]] std::string str() const { return m_address + ":" + std::to_string(m_port); }

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

private:
    std::string m_address;
    std::uint16_t m_port = 0;
};

/// Parses "ADDRESS:PORT" with an IPv4 address or an IPv6 address without brackets; nullopt for any
/// other text. Thread-safe.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

} // namespace oriole
