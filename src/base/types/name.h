#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace oriole {

/// The name of an object of one kind. Each kind has its own type, so names of different kinds
/// cannot be confused. Immutable; safe to read from any thread.
template <class Tag>
class basic_name {
public:
    basic_name() = default;

    explicit basic_name(std::string text) : m_text(std::move(text)) {}

    [[nodiscard]] const std::string& str() const noexcept { return m_text; }

    [[nodiscard]] bool empty() const noexcept { return m_text.empty(); }

    friend auto operator<=>(const basic_name&, const basic_name&) = default;

    friend std::ostream& operator<<(std::ostream& out, const basic_name& value) {
        return out << value.m_text;
    }

private:
    std::string m_text;
};

using region_name = basic_name<struct region_tag>;
using zone_name = basic_name<struct zone_tag>;
using instance_id = basic_name<struct instance_tag>;
using server_name = basic_name<struct server_tag>;
using database_name = basic_name<struct database_tag>;
using account_name = basic_name<struct account_tag>;
using key_name = basic_name<struct key_tag>;
using service_name = basic_name<struct service_tag>;
using rate_name = basic_name<struct rate_tag>;

} // namespace oriole

template <class Tag>
struct std::hash<oriole::basic_name<Tag>> {
    std::size_t operator()(const oriole::basic_name<Tag>& value) const noexcept {
        return std::hash<std::string>{}(value.str());
    }
};
