#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace oriole::tests {

/// Damages messages at random, for tests of decoders. The same seed gives the same damage. Not
/// thread-safe.
class message_mutation {
public:
    explicit message_mutation(std::uint64_t seed) : m_random(seed) {}

    /// Changes, inserts, removes or repeats bytes at up to four places.
    [[nodiscard]] std::string damaged(std::string text) {
        for (auto edits = below(max_edits) + 1; edits > 0; --edits) {
            edit(text);
        }
        return text;
    }

    /// Replaces or removes up to four values of a JSON document, so that it stays a JSON document.
    [[nodiscard]] nlohmann::json damaged(nlohmann::json document) {
        for (auto edits = below(max_edits) + 1; edits > 0; --edits) {
            std::vector<nlohmann::json*> values;
            collect(document, values);
            edit(*values[below(values.size())]);
        }
        return document;
    }

    /// A text with any bytes, more often with those that end messages and fields, but without CR
    /// LF.
    [[nodiscard]] std::string message_text() {
        constexpr std::string_view separators = "\r\n \r\n";
        std::string text;
        for (auto size = below(max_text_bytes); size > 0; --size) {
            const char next = below(2) == 0 ? byte() : separators[below(separators.size())];
            if (next != '\n' || text.empty() || text.back() != '\r') {
                text.push_back(next);
            }
        }
        return text;
    }

    /// A number from 0 up to, but not including, `limit`. Precondition: `limit` is not 0.
    [[nodiscard]] std::size_t below(std::size_t limit) { return m_random() % limit; }

private:
    static constexpr std::size_t max_edits = 4;
    static constexpr std::size_t max_run = 16;
    static constexpr std::size_t max_text_bytes = 64;
    static constexpr std::size_t byte_values = 256;

    [[nodiscard]] char byte() { return static_cast<char>(below(byte_values)); }

    void edit(std::string& text) {
        const auto at = below(text.size() + 1);
        const auto run = below(max_run);
        switch (below(5)) {
        case 0:
            text.insert(at, 1, byte());
            break;
        case 1:
            text.erase(at, run);
            break;
        case 2:
            text.insert(at, text.substr(at, run));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            if (at < text.size()) {
                text[at] = byte();
            }
        }
    }

    static void collect(nlohmann::json& value, std::vector<nlohmann::json*>& values) {
        values.push_back(&value);
        if (value.is_structured()) {
            for (auto& item : value) {
                collect(item, values);
            }
        }
    }

    void edit(nlohmann::json& value) {
        if (value.is_structured() && !value.empty() && below(2) == 0) {
            auto item = value.begin();
            std::advance(item, static_cast<std::ptrdiff_t>(below(value.size())));
            value.erase(item);
            return;
        }
        value = replacement();
    }

    [[nodiscard]] nlohmann::json replacement() {
        switch (below(12)) {
        case 0:
            return nullptr;
        case 1:
            return true;
        case 2:
            return m_random();
        case 3:
            return static_cast<std::int64_t>(m_random());
        case 4:
            return 0;
        case 5:
            return -1;
        case 6:
            return 1e300;
        case 7:
            return 0.5;
        case 8:
            return "";
        case 9:
            return std::string(below(max_run), 'x');
        case 10:
            return nlohmann::json::array({1, "x"});
        default:
            return nlohmann::json::object({{"x", 1}});
        }
    }

    std::mt19937_64 m_random;
};

} // namespace oriole::tests
