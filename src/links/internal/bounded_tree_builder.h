#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace oriole::links {

/// Builds the tree of a MessagePack document of arrays, integers, strings, booleans and null.
/// Rejects other types and deep nesting: the library's own builder recurses, so a hostile document
/// could exhaust the stack.
class bounded_tree_builder final : public nlohmann::json_sax<nlohmann::json> {
public:
    using json = nlohmann::json;

    [[nodiscard]] json take() { return std::move(m_root); }

    bool null() override { return add(nullptr); }

    bool boolean(bool value) override { return add(value); }

    bool number_integer(number_integer_t value) override { return add(value); }

    bool number_unsigned(number_unsigned_t value) override { return add(value); }

    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return false; }

    bool string(string_t& value) override { return add(std::move(value)); }

    bool binary(binary_t& /*value*/) override { return false; }

    bool start_object(std::size_t /*size*/) override { return false; }

    bool key(string_t& /*value*/) override { return false; }

    bool end_object() override { return false; }

    bool start_array(std::size_t size) override {
        if (m_open.size() >= max_depth) {
            return false;
        }
        json& node = append_node(json::array());
        node.get_ref<json::array_t&>().reserve(std::min(size, max_reserved));
        m_open.push_back(&node);
        return true;
    }

    bool end_array() override {
        m_open.pop_back();
        return true;
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& /*failure*/) override {
        return false;
    }

private:
    /// Messages nest six deep: message, body, entries, entry, statements, statement.
    static constexpr std::size_t max_depth = 8;
    /// Upper limit of the elements reserved for an array in advance. The size that the array
    /// declares may be wrong.
    static constexpr std::size_t max_reserved = 64;

    template <class Value>
    bool add(Value&& value) {
        append_node(json(std::forward<Value>(value)));
        return true;
    }

    json& append_node(json value) {
        if (m_open.empty()) {
            m_root = std::move(value);
            return m_root;
        }
        return m_open.back()->get_ref<json::array_t&>().emplace_back(std::move(value));
    }

    json m_root;
    std::vector<json*> m_open;
};

} // namespace oriole::links
