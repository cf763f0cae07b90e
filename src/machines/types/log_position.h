#pragma once

#include <compare>
#include <cstdint>

namespace oriole::machines {

/// Position of an entry in a database's log. Since each term has only one primary, term and offset
/// together identify the entry and all entries before it. Ordered by term, then by offset, which is
/// how a promotion finds the most recent log. Immutable.
class log_position {
public:
    constexpr log_position() = default;

    constexpr log_position(std::uint64_t term, std::uint64_t offset)
        : m_term(term), m_offset(offset) {}

    [[nodiscard]] constexpr std::uint64_t term() const noexcept { return m_term; }

    /// Number of log entries up to and including this one; 0 for an empty log.
    [[nodiscard]] constexpr std::uint64_t offset() const noexcept { return m_offset; }

    friend constexpr auto operator<=>(const log_position&, const log_position&) = default;

private:
    std::uint64_t m_term = 0;
    std::uint64_t m_offset = 0;
};

} // namespace oriole::machines
