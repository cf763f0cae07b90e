#include "links/backend_codec.h"
#include "links/internal/bounded_tree_builder.h"
#include "links/internal/message_fields.h"

#include <limits>

/// A message is encoded as the array [id, kind, [field, ...]], where kind is the index of the
/// variant alternative. Fields are in a fixed order instead of maps with names: a small read takes
/// 28 bytes instead of 130. The decoder requires the exact number of fields.
namespace oriole::links {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json write(std::uint64_t value) {
    return value;
}

json write(std::int64_t value) {
    return value;
}

json write(std::uint32_t value) {
    return value;
}

json write(bool value) {
    return value;
}

json write(const std::string& value) {
    return value;
}

json write(milliseconds value) {
    return value.count();
}

template <class Tag>
json write(const basic_name<Tag>& value) {
    return value.str();
}

json write(const log_position& value) {
    return json::array_t{value.term(), value.offset()};
}

json write(const endpoint& value) {
    return json::array_t{value.address(), value.port()};
}

template <class Enum>

requires std::is_enum_v<Enum> json write(Enum value) {
    return static_cast<std::uint64_t>(value);
}

template <class Value>
json write(const std::optional<Value>& value);

template <class Value>
json write(const std::vector<Value>& values);

template <has_fields Message>
json write(const Message& message) {
    json::array_t array;
    std::apply(
        [&array](const auto&... field) {
            array.reserve(sizeof...(field));
            (array.push_back(write(field)), ...);
        },
        fields(message));
    return array;
}

template <class Value>
json write(const std::optional<Value>& value) {
    return value ? write(*value) : json(nullptr);
}

template <class Value>
json write(const std::vector<Value>& values) {
    json::array_t array;
    array.reserve(values.size());
    for (const Value& value : values) {
        array.push_back(write(value));
    }
    return array;
}

template <class Variant>
std::string encode_message(std::uint64_t id, const Variant& body) {
    json::array_t message;
    message.reserve(3);
    message.emplace_back(id);
    message.emplace_back(body.index());
    message.push_back(std::visit([](const auto& part) { return write(part); }, body));
    std::string bytes;
    json::to_msgpack(json(std::move(message)), bytes);
    return bytes;
}

json::array_t& expect_array(json& node, std::size_t size) {
    auto* array = node.get_ptr<json::array_t*>();
    if (array == nullptr || array->size() != size) {
        throw decode_error("backend message: expected an array of length " + std::to_string(size));
    }
    return *array;
}

std::uint64_t read_unsigned(const json& node, std::uint64_t limit) {
    if (!node.is_number_unsigned() || node.get<std::uint64_t>() > limit) {
        throw decode_error("backend message: expected an unsigned integer of at most " +
                           std::to_string(limit));
    }
    return node.get<std::uint64_t>();
}

void read(json& node, std::uint64_t& value) {
    value = read_unsigned(node, std::numeric_limits<std::uint64_t>::max());
}

void read(json& node, std::uint32_t& value) {
    value =
        static_cast<std::uint32_t>(read_unsigned(node, std::numeric_limits<std::uint32_t>::max()));
}

void read(json& node, std::int64_t& value) {
    const bool fits = node.is_number_integer() &&
                      (!node.is_number_unsigned() ||
                       node.get<std::uint64_t>() <=
                           static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (!fits) {
        throw decode_error("backend message: expected a signed 64-bit integer");
    }
    value = node.get<std::int64_t>();
}

void read(json& node, bool& value) {
    if (!node.is_boolean()) {
        throw decode_error("backend message: expected a boolean");
    }
    value = node.get<bool>();
}

void read(json& node, std::string& value) {
    auto* text = node.get_ptr<std::string*>();
    if (text == nullptr) {
        throw decode_error("backend message: expected a string");
    }
    value = std::move(*text);
}

void read(json& node, milliseconds& value) {
    std::int64_t count = 0;
    read(node, count);
    value = milliseconds(count);
}

template <class Tag>
void read(json& node, basic_name<Tag>& value) {
    std::string text;
    read(node, text);
    value = basic_name<Tag>(std::move(text));
}

void read(json& node, log_position& value) {
    auto& parts = expect_array(node, 2);
    const auto limit = std::numeric_limits<std::uint64_t>::max();
    value = log_position(read_unsigned(parts[0], limit), read_unsigned(parts[1], limit));
}

void read(json& node, endpoint& value) {
    auto& parts = expect_array(node, 2);
    std::string address;
    read(parts[0], address);
    const auto port = read_unsigned(parts[1], std::numeric_limits<std::uint16_t>::max());
    value = endpoint(std::move(address), static_cast<std::uint16_t>(port));
}

template <class Enum>
constexpr std::uint64_t max_enumerator = 0;
template <>
constexpr std::uint64_t
    max_enumerator<execute_mode> = static_cast<std::uint64_t>(execute_mode::write);
template <>
constexpr std::uint64_t max_enumerator<machines::statement_kind> =
    static_cast<std::uint64_t>(machines::statement_kind::add);
template <>
constexpr std::uint64_t max_enumerator<machines::server_role> =
    static_cast<std::uint64_t>(machines::server_role::replica);
template <>
constexpr std::uint64_t
    max_enumerator<refusal_reason> = static_cast<std::uint64_t>(refusal_reason::malformed);

template <class Enum>
requires std::is_enum_v<Enum>

void read(json& node, Enum& value) {
    value = static_cast<Enum>(read_unsigned(node, max_enumerator<Enum>));
}

template <class Value>
void read(json& node, std::optional<Value>& value);

template <class Value>
void read(json& node, std::vector<Value>& values);

template <has_fields Message>
void read(json& node, Message& message) {
    std::apply(
        [&node](auto&... field) {
            [[maybe_unused]] auto next = expect_array(node, sizeof...(field)).begin();
            (read(*next++, field), ...);
        },
        fields(message));
}

template <class Value>
void read(json& node, std::optional<Value>& value) {
    if (!node.is_null()) {
        read(node, value.emplace());
    }
}

template <class Value>
void read(json& node, std::vector<Value>& values) {
    auto* array = node.get_ptr<json::array_t*>();
    if (array == nullptr) {
        throw decode_error("backend message: expected an array");
    }
    values.resize(array->size());
    for (std::size_t i = 0; i < values.size(); ++i) {
        read((*array)[i], values[i]);
    }
}

template <class Variant, std::size_t Index = 0>
void read_alternative(json& node, std::size_t kind, Variant& body) {
    if constexpr (Index == std::variant_size_v<Variant>) {
        throw decode_error("unknown kind of backend message: " + std::to_string(kind));
    } else if (kind == Index) {
        read(node, body.template emplace<Index>());
    } else {
        read_alternative<Variant, Index + 1>(node, kind, body);
    }
}

template <class Variant>
std::uint64_t decode_message(std::span<const char> bytes, Variant& body) {
    if (bytes.size() > max_backend_message_bytes) {
        throw decode_error("backend message of " + std::to_string(bytes.size()) +
                           " bytes exceeds " + std::to_string(max_backend_message_bytes));
    }
    bounded_tree_builder builder;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::msgpack)) {
        throw decode_error(
            "backend message is not a MessagePack document of arrays, integers, strings, booleans "
            "and null");
    }
    json tree = builder.take();
    auto& parts = expect_array(tree, 3);
    const auto limit = std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t id = read_unsigned(parts[0], limit);
    const std::uint64_t kind = read_unsigned(parts[1], limit);
    read_alternative(parts[2], kind, body);
    return id;
}

class msgpack_backend_codec final : public backend_codec {
public:
    [[nodiscard]] std::string encode(const backend_request& request) const override {
        return encode_message(request.id, request.call);
    }

    [[nodiscard]] std::string encode(const backend_answer& answer) const override {
        return encode_message(answer.id, answer.result);
    }

    [[nodiscard]] backend_request decode_request(std::span<const char> bytes) const override {
        backend_request request;
        request.id = decode_message(bytes, request.call);
        return request;
    }

    [[nodiscard]] backend_answer decode_answer(std::span<const char> bytes) const override {
        backend_answer answer;
        answer.id = decode_message(bytes, answer.result);
        return answer;
    }
};

} // namespace

std::unique_ptr<backend_codec> make_msgpack_backend_codec() {
    return std::make_unique<msgpack_backend_codec>();
}

} // namespace oriole::links
