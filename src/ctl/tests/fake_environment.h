#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "ctl/environment.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

namespace oriole::ctl {

/// An in-memory platform with its instances, reached over HTTP requests.
class fake_http final : public http_client {
public:
    struct object {
        std::string value;
        std::uint64_t version = 0;
        std::string operation;
    };

    [[nodiscard]] http_response send(const endpoint& server, const http_request& request,
                                     std::chrono::milliseconds) override {
        targets.push_back(request.target);
        if (!reachable) {
            throw http_failure("the fake platform refuses connections");
        }
        if (request.target == "/status") {
            return {200, {}, R"({"generation":)" + std::to_string(confirmed[server.str()]) + "}"};
        }
        if (request.target == "/v1/instances") {
            return {200, {}, instances()};
        }
        const std::string objects_target = "/v1/objects/";
        if (!request.target.starts_with(objects_target)) {
            return {200, {}, list(decoded(request.target.substr(request.target.find('=') + 1)))};
        }
        const std::string path = decoded(request.target.substr(objects_target.size()));
        auto response = request.method == "PUT" ? put(path, request) : get(path);
        if (request.method == "PUT" && lost_responses > 0) {
            --lost_responses;
            throw http_failure("timeout");
        }
        return response;
    }

    bool reachable = true;
    std::vector<std::string> targets; ///< of all requests
    int lost_responses = 0;
    std::map<std::string, object> objects;
    std::map<std::string, std::uint64_t>
        confirmed; ///< generation that an instance reports, by admin address

private:
    /// Replaces each `%NN`, as a server does.
    [[nodiscard]] static std::string decoded(const std::string& text) {
        constexpr int hexadecimal = 16;
        std::string out;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] != '%') {
                out.push_back(text[at]);
                continue;
            }
            out.push_back(
                static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, hexadecimal)));
            at += 2;
        }
        return out;
    }

    [[nodiscard]] std::string instances() const {
        auto list = nlohmann::json::array();
        for (const auto& [admin, number] : confirmed) {
            list.push_back({{"id", "i-" + admin},
                            {"zone", "ch-central-a"},
                            {"caller", admin},
                            {"admin", admin},
                            {"peer", admin},
                            {"state", "live"}});
        }
        return list.dump();
    }

    [[nodiscard]] std::string list(const std::string& prefix) const {
        auto found = nlohmann::json::array();
        for (const auto& [path, entry] : objects) {
            if (path.starts_with(prefix)) {
                found.push_back({{"path", path}, {"version", entry.version}});
            }
        }
        return found.dump();
    }

    [[nodiscard]] http_response get(const std::string& path) const {
        const auto found = objects.find(path);
        if (found == objects.end()) {
            return {404, {}, ""};
        }
        const auto& entry = found->second;
        return {200,
                {{"oriole-version", std::to_string(entry.version)},
                 {"oriole-operation", entry.operation}},
                entry.value};
    }

    http_response put(const std::string& path, const http_request& request) {
        const std::uint64_t version = objects.contains(path) ? objects[path].version : 0;
        if (request.headers.at("If-Match") != std::to_string(version)) {
            return {409, {{"oriole-version", std::to_string(version)}}, ""};
        }
        objects[path] = {request.body, version + 1, request.headers.at("Oriole-Operation")};
        return {200, {{"oriole-version", std::to_string(version + 1)}}, ""};
    }
};

/// Files, HTTP and random numbers for tests, with a clock that advances only in sleep_for().
class fake_environment final : public environment, public clock {
public:
    [[nodiscard]] std::string read_file(const std::string& path) override {
        if (files.contains(path)) {
            return files[path];
        }
        std::ifstream file(path);
        if (!file) {
            throw error("the file cannot be read");
        }
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    [[nodiscard]] const clock& monotonic_clock() const override { return *this; }

    [[nodiscard]] time_point now() const override { return m_now; }

    [[nodiscard]] random_source& random() override { return *m_random; }

    [[nodiscard]] std::string utc_time() const override { return "2026-03-01T08:30:00Z"; }

    [[nodiscard]] http_client& http() override { return network; }

    void sleep_for(std::chrono::milliseconds time) override {
        m_now += time;
        if (on_sleep) {
            on_sleep();
        }
    }

    fake_http network;
    std::function<void()> on_sleep; ///< called in sleep_for(), to simulate concurrent changes
    std::map<std::string, std::string> files;

private:
    time_point m_now{};
    std::unique_ptr<random_source> m_random = make_random_source(1);
};

} // namespace oriole::ctl
