#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace oriole::contracts {

/// A change made by an operator or automatically by an instance, for the audit log. Immutable.
class audit_entry {
public:
    class builder;

    /// The operator's name, or the id of the instance that made the change automatically.
    [[nodiscard]] const std::string& actor() const noexcept { return m_actor; }

    /// Wall-clock time on the machine that recorded the change; for display only, never compared in
    /// decisions.
    [[nodiscard]] std::chrono::system_clock::time_point when() const noexcept { return m_when; }

    /// The changed object as "kind/name".
    [[nodiscard]] const std::string& object() const noexcept { return m_object; }

    /// The object's state before the change; empty when it did not exist.
    [[nodiscard]] const std::string& from() const noexcept { return m_from; }

    /// The object's state after the change; empty when it was removed.
    [[nodiscard]] const std::string& to() const noexcept { return m_to; }

    /// Generation of the configuration that was active, or that the change created.
    [[nodiscard]] std::uint64_t generation() const noexcept { return m_generation; }

    [[nodiscard]] const std::string& reason() const noexcept { return m_reason; }

    friend auto operator<=>(const audit_entry&, const audit_entry&) = default;

private:
    audit_entry() = default;

    std::chrono::system_clock::time_point m_when;
    std::string m_actor;
    std::string m_object;
    std::string m_from;
    std::string m_to;
    std::uint64_t m_generation = 0;
    std::string m_reason;
};

/// Builds an audit_entry. Not thread-safe.
class audit_entry::builder {
public:
    builder& actor(std::string value) {
        m_value.m_actor = std::move(value);
        return *this;
    }

    builder& when(std::chrono::system_clock::time_point value) {
        m_value.m_when = value;
        return *this;
    }

    builder& object(std::string value) {
        m_value.m_object = std::move(value);
        return *this;
    }

    builder& from(std::string value) {
        m_value.m_from = std::move(value);
        return *this;
    }

    builder& to(std::string value) {
        m_value.m_to = std::move(value);
        return *this;
    }

    builder& generation(std::uint64_t value) {
        m_value.m_generation = value;
        return *this;
    }

    builder& reason(std::string value) {
        m_value.m_reason = std::move(value);
        return *this;
    }

    /// Precondition: actor, when and object have been set.
    [[nodiscard]] audit_entry build() const { return m_value; }

private:
    audit_entry m_value;
};

} // namespace oriole::contracts
