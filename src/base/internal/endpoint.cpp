#include "base/types/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace oriole {

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string address(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    const bool is_ip_address = ::inet_pton(AF_INET, address.c_str(), binary.data()) == 1 ||
                               ::inet_pton(AF_INET6, address.c_str(), binary.data()) == 1;
    if (!is_ip_address || digits.empty() || parsed.ec != std::errc{} || parsed.ptr != end ||
        port == 0) {
        return std::nullopt;
    }
    return endpoint(address, port);
}

} // namespace oriole
