#pragma once

#include "base/types/name.h"

#include <chrono>
#include <compare>
#include <optional>
#include <utility>

namespace oriole::contracts {

enum class access_mode { read, write };

/// How a service handles requests when its instance has had no contact with the platform, directly
/// or through peers, for longer than the service's `stale_after`.
enum class stale_policy { serve, refuse };

/// A named service that callers request, and how requests to it are handled. Immutable.
class service {
public:
    class builder;

    [[nodiscard]] const service_name& name() const noexcept { return m_name; }

    [[nodiscard]] const database_name& database() const noexcept { return m_database; }

    [[nodiscard]] access_mode access() const noexcept { return m_access; }

    /// Weight with which a request counts against the account's rate and in usage records.
    [[nodiscard]] double weight() const noexcept { return m_weight; }

    /// Whether requests are idempotent, so that they may be retried.
    [[nodiscard]] bool repeatable() const noexcept { return m_repeatable; }

    /// Maximum age of the data that a read may return. Without a value any age is accepted, as long
    /// as the data contains the session's own writes.
    [[nodiscard]] std::optional<std::chrono::milliseconds> max_age() const noexcept {
        return m_max_age;
    }

    [[nodiscard]] bool open_to_all() const noexcept { return m_open_to_all; }

    [[nodiscard]] std::chrono::milliseconds deadline() const noexcept { return m_deadline; }

    [[nodiscard]] stale_policy when_stale() const noexcept { return m_when_stale; }

    [[nodiscard]] std::chrono::milliseconds stale_after() const noexcept { return m_stale_after; }

    friend auto operator<=>(const service&, const service&) = default;

private:
    static constexpr std::chrono::milliseconds default_deadline{2000};
    static constexpr std::chrono::milliseconds default_stale_after{30000};

    service() = default;

    service_name m_name;
    database_name m_database;
    access_mode m_access = access_mode::read;
    double m_weight = 1.0;
    bool m_repeatable = false;
    std::optional<std::chrono::milliseconds> m_max_age;
    bool m_open_to_all = false;
    std::chrono::milliseconds m_deadline = default_deadline;
    stale_policy m_when_stale = stale_policy::serve;
    std::chrono::milliseconds m_stale_after = default_stale_after;
};

/// Builds a service. Not thread-safe.
class service::builder {
public:
    builder& name(service_name value) {
        m_value.m_name = std::move(value);
        return *this;
    }

    builder& database(database_name value) {
        m_value.m_database = std::move(value);
        return *this;
    }

    builder& access(access_mode value) {
        m_value.m_access = value;
        return *this;
    }

    builder& weight(double value) {
        m_value.m_weight = value;
        return *this;
    }

    builder& repeatable(bool value) {
        m_value.m_repeatable = value;
        return *this;
    }

    builder& max_age(std::optional<std::chrono::milliseconds> value) {
        m_value.m_max_age = value;
        return *this;
    }

    builder& open_to_all(bool value) {
        m_value.m_open_to_all = value;
        return *this;
    }

    builder& deadline(std::chrono::milliseconds value) {
        m_value.m_deadline = value;
        return *this;
    }

    builder& when_stale(stale_policy value) {
        m_value.m_when_stale = value;
        return *this;
    }

    builder& stale_after(std::chrono::milliseconds value) {
        m_value.m_stale_after = value;
        return *this;
    }

    /// Precondition: name and database have been set.
    [[nodiscard]] service build() const { return m_value; }

private:
    service m_value;
};

} // namespace oriole::contracts
