#pragma once

#include "base/types/endpoint.h"
#include "ctl/http_client.h"
#include "machines/types/instance.h"
#include "site/object_store.h"

#include <utility>
#include <vector>

namespace oriole::ctl {

/// Reads and writes the platform's objects over HTTP, and reads its list of instances. Not
/// thread-safe.
class http_object_store final : public site::object_store {
public:
    /// `http` outlives the store.
    http_object_store(http_client& http, endpoint platform)
        : m_http(http), m_platform(std::move(platform)) {}

    [[nodiscard]] std::optional<site::store_value> get(const std::string& path) override;
    std::uint64_t put(const std::string& path, const std::string& value,
                      std::uint64_t expected_version, const std::string& operation_id) override;
    [[nodiscard]] std::vector<std::string> list(const std::string& prefix) override;

    /// The live and leaving instances. The platform updates this list with a delay, so it may miss
    /// new instances and contain stopped ones.
    [[nodiscard]] std::vector<machines::instance> instances();

private:
    [[nodiscard]] http_response send(const http_request& request);
    [[nodiscard]] std::optional<std::uint64_t>
    find_version_written_by(const std::string& path, const std::string& operation_id);

    http_client& m_http;
    endpoint m_platform;
};

} // namespace oriole::ctl
