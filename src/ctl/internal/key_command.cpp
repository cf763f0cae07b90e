#include "ctl/internal/key_command.h"

#include "ctl/internal/change_publisher.h"
#include "site/site_codec.h"
#include "site/site_records.h"

#include <sodium.h>

#include <array>

namespace oriole::ctl {
namespace {

// A key has 256 random bits and cannot be guessed, so its stored digest needs neither a salt nor a
// slow hash.
constexpr std::size_t key_bytes = 32;

std::string generate_key() {
    if (sodium_init() < 0) {
        throw error("no key was generated: libsodium could not be initialized");
    }
    std::array<unsigned char, key_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * key_bytes + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

site::object_records::iterator find_key_record(site::object_records& records,
                                               const std::string& name) {
    const auto found = records.find({site::object_kind::key, name});
    if (found == records.end()) {
        throw error("there is no key/" + name + "; 'oriolectl get key' lists the known ones");
    }
    return found;
}

site::site_objects with_key_withdrawn(const site::site_objects& base, const std::string& name) {
    auto records = site::to_records(base);
    const auto found = find_key_record(records, name);
    auto fields = found->second.fields();
    fields["state"] = std::string("withdrawn");
    found->second = site::object_record(found->first, std::move(fields));
    return site::to_site_objects(records);
}

} // namespace

std::vector<option_schema> key_command::options() const {
    auto options = change_publisher::options();
    options.push_back({"name", "NAME", "grant: the key's name", false});
    options.push_back({"account", "NAME", "grant: the client account", false});
    options.push_back({"service", "NAME",
                       "grant: a service that the key may use, repeatable (default: all)", false});
    return options;
}

exit_code key_command::run(const arguments& args, console& output) {
    const auto& words = args.positional();
    if (words.size() == 1 && words[0] == "grant" && args.has("name") && args.has("account")) {
        return grant(args, output);
    }
    if (words.size() == 2 && words[0] == "withdraw") {
        return withdraw(args, output);
    }
    throw usage_error("write 'key grant --name NAME --account NAME' or 'key withdraw NAME'");
}

exit_code key_command::grant(const arguments& args, console& output) {
    const std::string name = args.value("name");
    const std::string key = generate_key();
    const site::object_record record({site::object_kind::key, name},
                                     {{"account", args.value("account")},
                                      {"digest", site::digest_of(std::string_view(key))},
                                      {"state", std::string("granted")},
                                      {"services", args.values("service")}});
    // Encoding and decoding the record checks its names like those in a configuration file.
    const auto checked = site::decode_object(site::encode_object(record));
    const auto with_key = [&](const site::site_objects& base) {
        if (base.keys().contains(key_name(name))) {
            throw error("key/" + name + " exists already; choose another name");
        }
        site::site_objects::builder objects(base);
        site::add_record(objects, checked);
        return objects.build();
    };
    return change_publisher(m_system, args, output)
        .publish(with_key, "grant key/" + name, {{"key", key}});
}

exit_code key_command::withdraw(const arguments& args, console& output) {
    const std::string& name = args.positional()[1];
    return change_publisher(m_system, args, output)
        .publish([&](const site::site_objects& base) { return with_key_withdrawn(base, name); },
                 "withdraw key/" + name);
}

} // namespace oriole::ctl
