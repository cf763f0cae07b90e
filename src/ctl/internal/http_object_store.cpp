#include "ctl/internal/http_object_store.h"

#include "base/url_encoding.h"
#include "ctl/internal/endpoint_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace oriole::ctl {
namespace {

using nlohmann::json;
using site::store_conflict;
using site::store_unreachable;

// The platform normally responds within milliseconds, so a timeout means an outage.
constexpr std::chrono::milliseconds request_timeout{3000};
constexpr int max_put_attempts = 3;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_server_error = 500;

const std::string objects_target = "/v1/objects/";

std::string header(const http_response& response, const std::string& name) {
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? std::string{} : found->second;
}

std::uint64_t version_of(const http_response& response) {
    const std::string text = header(response, "oriole-version");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    if (version == 0) {
        throw store_unreachable("the platform's response has no valid object version: got '" +
                                text + "'");
    }
    return version;
}

json parse_list(const http_response& response) {
    auto list = json::parse(response.body, nullptr, false);
    if (response.status != status_ok || !list.is_array()) {
        throw store_unreachable("the platform answered " + std::to_string(response.status) +
                                " without a JSON list");
    }
    return list;
}

machines::instance to_instance(const json& entry) {
    const bool live = entry.value("state", "") == "live";
    return machines::instance::builder{}
        .id(instance_id(entry.value("id", "")))
        .zone(zone_name(entry.value("zone", "")))
        .caller_endpoint(parse_endpoint(entry.value("caller", "")))
        .admin_endpoint(parse_endpoint(entry.value("admin", "")))
        .peer_endpoint(parse_endpoint(entry.value("peer", "")))
        .state(live ? machines::instance_state::live : machines::instance_state::leaving)
        .build();
}

} // namespace

std::optional<site::store_value> http_object_store::get(const std::string& path) {
    auto response = send({"GET", objects_target + encode_url_path(path), {}, {}});
    if (response.status == status_not_found) {
        return std::nullopt;
    }
    if (response.status != status_ok) {
        throw store_unreachable("the platform answered " + std::to_string(response.status) +
                                " for " + path);
    }
    return site::store_value{std::move(response.body), version_of(response)};
}

std::uint64_t http_object_store::put(const std::string& path, const std::string& value,
                                     std::uint64_t expected_version,
                                     const std::string& operation_id) {
    const http_request request{
        "PUT",
        objects_target + encode_url_path(path),
        {{"If-Match", std::to_string(expected_version)}, {"Oriole-Operation", operation_id}},
        value};
    for (int i = 0; i < max_put_attempts; ++i) {
        bool answered = false;
        http_response response;
        try {
            response = m_http.send(m_platform, request, request_timeout);
            answered = true;
        } catch (const http_failure&) {
            answered = false; // reading the object back below shows whether the change took effect
        }
        if (answered && response.status == status_ok) {
            return version_of(response);
        }
        // A conflict may come from an earlier attempt of this change whose response was lost.
        if (const auto version = find_version_written_by(path, operation_id)) {
            return *version;
        }
        if (answered && response.status == status_conflict) {
            throw store_conflict(path + " is not at the expected version " +
                                 std::to_string(expected_version));
        }
        if (answered && response.status < status_server_error) {
            throw error("the platform refused " + path + " with status " +
                        std::to_string(response.status) + ": " + response.body);
        }
    }
    throw store_unreachable("the platform did not confirm the change of " + path + " in " +
                            std::to_string(max_put_attempts) +
                            " attempts; it may have taken effect");
}

std::vector<std::string> http_object_store::list(const std::string& prefix) {
    std::vector<std::string> paths;
    for (const auto& entry :
         parse_list(send({"GET", "/v1/objects?prefix=" + encode_url_path(prefix), {}, {}}))) {
        paths.push_back(entry.is_object() ? entry.value("path", "") : "");
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

std::vector<machines::instance> http_object_store::instances() {
    std::vector<machines::instance> found;
    for (const auto& entry : parse_list(send({"GET", "/v1/instances", {}, {}}))) {
        if (entry.is_object()) {
            found.push_back(to_instance(entry));
        }
    }
    return found;
}

http_response http_object_store::send(const http_request& request) {
    try {
        return m_http.send(m_platform, request, request_timeout);
    } catch (const http_failure& failure) {
        throw store_unreachable(std::string("the platform is not reachable: ") + failure.what());
    }
}

/// The object's current version if the operation `operation_id` wrote it, otherwise nullopt.
std::optional<std::uint64_t>
http_object_store::find_version_written_by(const std::string& path,
                                           const std::string& operation_id) {
    const auto response = send({"GET", objects_target + encode_url_path(path), {}, {}});
    const bool own =
        response.status == status_ok && header(response, "oriole-operation") == operation_id;
    return own ? std::optional(version_of(response)) : std::nullopt;
}

} // namespace oriole::ctl
