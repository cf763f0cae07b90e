#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace oriole::machines {

enum class statement_kind { get, put, add };

/// One statement of a request. `value` is used by put, `amount` by add.
struct statement {
    statement_kind kind = statement_kind::get;
    std::string row;
    std::string value;
    std::int64_t amount = 0;

    [[nodiscard]] bool writes() const noexcept { return kind != statement_kind::get; }

    friend bool operator==(const statement&, const statement&) = default;
};

/// Result of a statement: the row's value after the statement, or none if the row does not exist.
struct statement_result {
    std::string row;
    std::optional<std::string> value;

    friend bool operator==(const statement_result&, const statement_result&) = default;
};

} // namespace oriole::machines
