#pragma once

#include "base/errors.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriole::ctl {

/// The command line is invalid. The message names the expected arguments.
class usage_error : public error {
public:
    using error::error;
};

/// The parsed positional arguments and options of a command. Immutable.
class arguments {
public:
    arguments() = default;

    arguments(std::vector<std::string> positional,
              std::map<std::string, std::vector<std::string>> options)
        : m_positional(std::move(positional)), m_options(std::move(options)) {}

    [[nodiscard]] const std::vector<std::string>& positional() const noexcept {
        return m_positional;
    }

    [[nodiscard]] bool has(const std::string& option) const { return m_options.contains(option); }

    /// All values of a repeatable option, in the order of the command line; empty if not given.
    [[nodiscard]] std::vector<std::string> values(const std::string& option) const {
        const auto found = m_options.find(option);
        return found == m_options.end() ? std::vector<std::string>{} : found->second;
    }

    /// The last value of an option, or `default_value` if it was not given.
    [[nodiscard]] std::string value(const std::string& option,
                                    const std::string& default_value = {}) const {
        const auto found = m_options.find(option);
        const bool has_value = found != m_options.end() && !found->second.empty();
        return has_value ? found->second.back() : default_value;
    }

    friend bool operator==(const arguments&, const arguments&) = default;

private:
    std::vector<std::string> m_positional;
    std::map<std::string, std::vector<std::string>> m_options;
};

} // namespace oriole::ctl
