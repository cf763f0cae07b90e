#include "ctl/internal/endpoint_text.h"

#include "ctl/types/arguments.h"

#include <charconv>

namespace oriole::ctl {

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    }
    if (port == 0) {
        throw usage_error("'" + text +
                          "' is not an address; write ADDRESS:PORT with a port from 1 to 65535");
    }
    return {text.substr(0, colon), port};
}

} // namespace oriole::ctl
