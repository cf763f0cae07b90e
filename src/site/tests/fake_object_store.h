#pragma once

#include "site/object_store.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace oriole::site {

/// An in-memory object store with injected faults.
class fake_object_store final : public object_store {
public:
    enum class fault { none, answer_lost, request_lost };

    [[nodiscard]] std::optional<store_value> get(const std::string& path) override {
        const auto found = m_values.find(path);
        return found == m_values.end() ? std::nullopt : std::optional(found->second);
    }

    std::uint64_t put(const std::string& path, const std::string& value,
                      std::uint64_t expected_version, const std::string& operation_id) override {
        if (before_put) {
            before_put(path);
        }
        const fault next = take_fault();
        if (next == fault::request_lost) {
            throw store_unreachable("injected fault: the request was lost and nothing was stored");
        }
        const auto found = m_values.find(path);
        const std::uint64_t version = found == m_values.end() ? 0 : found->second.version;
        if (version != expected_version) {
            throw store_conflict("the stored version is " + std::to_string(version) +
                                 ", conflicting with operation " + operation_id);
        }
        m_values[path] = {value, version + 1};
        if (next == fault::answer_lost) {
            throw store_unreachable("injected fault: the value was stored, but the reply was lost");
        }
        return version + 1;
    }

    [[nodiscard]] std::vector<std::string> list(const std::string& prefix) override {
        std::vector<std::string> paths;
        for (const auto& [path, value] : m_values) {
            if (path.starts_with(prefix)) {
                paths.push_back(path);
            }
        }
        return paths;
    }

    /// Called at the start of each put, to simulate concurrent writers.
    std::function<void(const std::string& path)> before_put;

    /// Faults to inject into the next calls of put(), in order.
    std::deque<fault> faults;

private:
    fault take_fault() {
        if (faults.empty()) {
            return fault::none;
        }
        const fault first = faults.front();
        faults.pop_front();
        return first;
    }

    std::map<std::string, store_value> m_values;
};

} // namespace oriole::site
