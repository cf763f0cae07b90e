#include "site/site_codec.h"

#include "site/internal/object_schema.h"
#include "site/site_records.h"

#include <sodium.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>

namespace oriole::site {
namespace {

using nlohmann::json;

constexpr std::size_t digest_bytes = 32;
constexpr std::size_t digest_digits = 2 * digest_bytes;
constexpr double largest_exact_integer = 9'007'199'254'740'992.0; // 2^53

json encode_number(double value) {
    if (value == std::floor(value) && std::abs(value) <= largest_exact_integer) {
        return static_cast<std::int64_t>(value);
    }
    return value;
}

json encode_value(const field_value& value) {
    if (const auto* flag = std::get_if<bool>(&value)) {
        return *flag;
    }
    if (const auto* number = std::get_if<double>(&value)) {
        return encode_number(*number);
    }
    if (const auto* list = std::get_if<std::vector<std::string>>(&value)) {
        return *list;
    }
    return to_text(value);
}

json encode_object_json(const object_record& object) {
    json result{{"kind", to_string(object.id().kind)}, {"name", object.id().name}};
    for (const auto& [field, value] : object.fields()) {
        result[field] = encode_value(value);
    }
    return result;
}

json parse(std::string_view text) {
    auto value = json::parse(text.begin(), text.end(), nullptr, false);
    if (value.is_discarded()) {
        throw malformed_site("the text is not valid JSON");
    }
    return value;
}

const std::string& string_field(const json& object, const char* field) {
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string()) {
        throw malformed_site("the field '" + std::string(field) + "' is missing or not a string");
    }
    return found->get_ref<const std::string&>();
}

parsed_value decode_list(const field_schema& field, const json& value) {
    std::vector<std::string> elements;
    for (const auto& element : value) {
        if (!element.is_string()) {
            return {std::nullopt, "an element is not a string"};
        }
        auto parsed = parse_scalar(field, element.get_ref<const std::string&>());
        if (!parsed.value) {
            return parsed;
        }
        elements.push_back(element.get<std::string>());
    }
    return {std::move(elements), {}};
}

parsed_value decode_value(const field_schema& field, const json& value) {
    if (field.type == field_type::references) {
        return value.is_array() ? decode_list(field, value)
                                : parsed_value{std::nullopt, "it is not a list"};
    }
    if (field.type == field_type::flag) {
        return value.is_boolean() ? parsed_value{value.get<bool>(), {}}
                                  : parsed_value{std::nullopt, "it is not true or false"};
    }
    if (field.type == field_type::number || field.type == field_type::count) {
        return value.is_number() ? bounded_number(field, value.get<double>())
                                 : parsed_value{std::nullopt, "it is not a number"};
    }
    return value.is_string() ? parse_scalar(field, value.get_ref<const std::string&>())
                             : parsed_value{std::nullopt, "it is not a string"};
}

object_id decode_id(const json& object) {
    const auto kind = to_object_kind(string_field(object, "kind"));
    const std::string& name = string_field(object, "name");
    const std::string problem = name_problem(name);
    if (!kind || !problem.empty()) {
        throw malformed_site(kind ? problem
                                  : "unknown kind '" + string_field(object, "kind") + "'");
    }
    return {*kind, name};
}

object_record decode_record(const json& object) {
    if (!object.is_object()) {
        throw malformed_site("the encoded object is not a JSON object");
    }
    const object_id id = decode_id(object);
    std::map<std::string, field_value> fields;
    for (const auto& field : schema_of(id.kind)) {
        const std::string name(field.name);
        const auto found = object.find(name);
        if (found == object.end()) {
            if (field.required || default_value(field)) {
                throw malformed_site(id.str() + " has no field '" + name + "'");
            }
            continue;
        }
        auto parsed = decode_value(field, *found);
        if (!parsed.value) {
            throw malformed_site(id.str() + ": field '" + name + "': " + parsed.problem);
        }
        fields.emplace(name, std::move(*parsed.value));
    }
    return {id, std::move(fields)};
}

std::string encode_chunk(const object_records& records) {
    if (records.empty()) {
        return {};
    }
    auto list = json::array();
    for (const auto& [id, record] : records) {
        list.push_back(encode_object_json(record));
    }
    return list.dump();
}

std::size_t decode_generation(const json& head) {
    const auto found = head.find("generation");
    if (found == head.end() || !found->is_number_unsigned()) {
        throw malformed_site(
            "the field 'generation' of the head is missing or not an unsigned integer");
    }
    return found->get<generation>();
}

/// Heads of earlier versions of the program do not name the generation that they replaced; it is
/// the one before.
generation decode_previous(const json& head) {
    const auto found = head.find("previous");
    if (found != head.end() && found->is_number_unsigned()) {
        return found->get<generation>();
    }
    const generation number = decode_generation(head);
    return number == 0 ? 0 : number - 1;
}

bucket_digests decode_buckets(const json& head) {
    const auto found = head.find("buckets");
    if (found == head.end() || !found->is_array() || found->size() != bucket_count) {
        throw malformed_site("the field 'buckets' of the head is missing or not an array of " +
                             std::to_string(bucket_count) + " digests");
    }
    bucket_digests buckets;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        const auto& digest = (*found)[i];
        if (!digest.is_string()) {
            throw malformed_site("a bucket digest in the head is not a string");
        }
        buckets[i] = digest.get<std::string>();
        if (!buckets[i].empty() && buckets[i].size() != digest_digits) {
            throw malformed_site("a bucket digest in the head has " +
                                 std::to_string(buckets[i].size()) + " characters instead of " +
                                 std::to_string(digest_digits));
        }
    }
    return buckets;
}

} // namespace

std::string encode_object(const object_record& object) {
    return encode_object_json(object).dump();
}

object_record decode_object(std::string_view text) {
    auto record = decode_record(parse(text));
    // Comparing with the canonical encoding rejects unknown fields, duplicate fields and other
    // notations of a value.
    if (encode_object(record) != text) {
        throw malformed_site(record.id().str() + " is not in canonical form");
    }
    return record;
}

std::size_t bucket_of(const object_id& id) {
    const std::string text = id.str();
    return XXH64(text.data(), text.size(), 0) % bucket_count;
}

chunk_texts encode_site(const site_objects& objects) {
    std::array<object_records, bucket_count> buckets;
    for (auto& [id, record] : to_records(objects)) {
        buckets.at(bucket_of(id)).emplace(id, record);
    }
    chunk_texts chunks;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        chunks[i] = encode_chunk(buckets[i]);
    }
    return chunks;
}

object_records decode_chunk(std::size_t bucket, std::string_view text) {
    object_records records;
    if (text.empty()) {
        return records;
    }
    const auto list = parse(text);
    if (!list.is_array()) {
        throw malformed_site("the chunk is not a JSON array");
    }
    for (const auto& element : list) {
        auto record = decode_record(element);
        if (bucket_of(record.id()) != bucket) {
            throw malformed_site(record.id().str() + " does not belong to bucket " +
                                 std::to_string(bucket));
        }
        records.emplace(record.id(), record);
    }
    if (encode_chunk(records) != text) {
        throw malformed_site("the chunk is not in canonical form");
    }
    return records;
}

site_objects decode_site(const chunk_texts& chunks) {
    site_objects::builder objects;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        for (const auto& [id, record] : decode_chunk(i, chunks[i])) {
            add_record(objects, record);
        }
    }
    return objects.build();
}

std::string digest_of(std::string_view text) {
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr,
                       0);
    std::array<char, digest_digits + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return hex.data();
}

bucket_digests digests_of(const chunk_texts& chunks) {
    bucket_digests digests;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        digests[i] = chunks[i].empty() ? std::string{} : digest_of(chunks[i]);
    }
    return digests;
}

std::string digest_of(const bucket_digests& buckets) {
    std::string joined;
    for (const auto& digest : buckets) {
        joined += digest;
        joined += '\n';
    }
    return digest_of(std::string_view(joined));
}

std::string encode_head(const site_head& head) {
    const json value{{"generation", head.number()},
                     {"previous", head.previous()},
                     {"operation", head.operation_id()},
                     {"buckets", head.buckets()},
                     {"digest", head.digest()},
                     {"author", head.author()},
                     {"time", head.time()},
                     {"comment", head.comment()}};
    // Author and comment come from operators and may contain invalid UTF-8.
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

site_head decode_head(std::string_view text) {
    const auto value = parse(text);
    if (!value.is_object()) {
        throw malformed_site("the head is not a JSON object");
    }
    auto head = site_head::builder{}
                    .number(decode_generation(value))
                    .previous(decode_previous(value))
                    .operation_id(string_field(value, "operation"))
                    .buckets(decode_buckets(value))
                    .digest(string_field(value, "digest"))
                    .author(string_field(value, "author"))
                    .time(string_field(value, "time"))
                    .comment(string_field(value, "comment"))
                    .build();
    if (digest_of(head.buckets()) != head.digest()) {
        throw malformed_site("the digest of the head does not match its bucket digests");
    }
    return head;
}

} // namespace oriole::site
