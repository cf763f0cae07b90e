#include "ctl/internal/platform_site.h"

#include "ctl/internal/endpoint_text.h"

#include <charconv>

namespace oriole::ctl {

option_schema platform_option() {
    return {"platform", "ADDRESS:PORT", "the platform's address", true};
}

platform_site::platform_site(environment& system, const arguments& args)
    : m_object_store(system.http(), parse_endpoint(args.value("platform"))),
      m_store(site::make_site_store(m_object_store)) {}

site::site_objects platform_site::newest_objects() {
    const auto head = m_store->head();
    return head ? m_store->load(*head) : site::site_objects{};
}

site::site_objects platform_site::objects_at(site::generation number) {
    const auto head = m_store->head_at(number);
    if (!head) {
        throw error("the configuration has no generation " + std::to_string(number) +
                    "; 'oriolectl history' lists its generations");
    }
    return m_store->load(*head);
}

site::generation parse_generation(const std::string& text) {
    site::generation number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size() || number == 0) {
        throw usage_error("'" + text + "' is not a generation; write a number from 1");
    }
    return number;
}

} // namespace oriole::ctl
