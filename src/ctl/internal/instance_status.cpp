#include "ctl/internal/instance_status.h"

#include <nlohmann/json.hpp>

namespace oriole::ctl {
namespace {

constexpr std::chrono::milliseconds status_timeout{1000};
constexpr unsigned status_ok = 200;

void fetch_status(http_client& http, const endpoint& admin, instance_status& status) {
    try {
        const auto response = http.send(admin, {"GET", "/status", {}, {}}, status_timeout);
        const auto details = nlohmann::json::parse(response.body, nullptr, false);
        if (response.status != status_ok || !details.is_object()) {
            return;
        }
        status.answered = true;
        status.details = response.body;
        const auto found = details.find("generation");
        if (found != details.end() && found->is_number_unsigned()) {
            status.generation = found->get<site::generation>();
        }
    } catch (const http_failure&) {
        status.answered = false; // the platform's list keeps a stopped instance for a while
    }
}

} // namespace

std::vector<instance_status> read_instance_status(http_client& http, http_object_store& platform) {
    std::vector<instance_status> found;
    for (const auto& instance : platform.instances()) {
        if (instance.state() != machines::instance_state::live) {
            continue;
        }
        instance_status status;
        status.id = instance.id().str();
        status.zone = instance.zone().str();
        status.admin = instance.admin_endpoint().str();
        fetch_status(http, instance.admin_endpoint(), status);
        found.push_back(std::move(status));
    }
    return found;
}

} // namespace oriole::ctl
