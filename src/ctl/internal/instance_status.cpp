#include "ctl/internal/instance_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace oriole::ctl {
namespace {

constexpr std::chrono::milliseconds status_timeout{1000};
/// All instances use the newest generation within seconds, so a few of each zone tell it. The
/// limits keep a change quick while a zone does not answer.
constexpr std::chrono::milliseconds generation_timeout{300};
constexpr int asked_per_zone = 2;
constexpr unsigned status_ok = 200;

void fetch_status(http_client& http, const endpoint& admin, std::chrono::milliseconds timeout,
                  instance_status& status) {
    try {
        const auto response = http.send(admin, {"GET", "/status", {}, {}}, timeout);
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
        fetch_status(http, instance.admin_endpoint(), status_timeout, status);
        found.push_back(std::move(status));
    }
    return found;
}

site::generation newest_generation_in_use(http_client& http, http_object_store& platform) {
    site::generation newest = 0;
    std::map<zone_name, int> asked;
    for (const auto& instance : platform.instances()) {
        const bool is_live = instance.state() == machines::instance_state::live;
        if (!is_live || ++asked[instance.zone()] > asked_per_zone) {
            continue;
        }
        instance_status status;
        fetch_status(http, instance.admin_endpoint(), generation_timeout, status);
        newest = std::max(newest, status.generation);
    }
    return newest;
}

} // namespace oriole::ctl
