#pragma once

#include "app/internal/configuration.h"
#include "base/clock.h"
#include "links/types/peer_messages.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriole::app {

/// Holds the current configuration, assembles its successor from chunks and decides when to switch
/// to it. Does no I/O. Not thread-safe; used on the control thread.
class config_store {
public:
    explicit config_store(const config_codec& codec) : m_codec(codec) {}

    /// Starts to assemble the configuration described by this head. Returns false when its
    /// generation is not higher than the current one. Throws oriole::error when the head is
    /// invalid.
    bool begin_assembly(const std::string& head_text);

    /// Digests of the chunks that the configuration being assembled still lacks.
    [[nodiscard]] std::vector<std::string> missing_chunks() const;

    /// Adds a chunk to the configuration being assembled. Returns false when the text does not
    /// match the digest or the configuration has no such chunk.
    bool add_chunk(const std::string& digest, const std::string& text);

    /// Makes the assembled configuration the current one if it is complete. Returns whether the
    /// current configuration has changed.
    bool commit();

    [[nodiscard]] const std::optional<configuration>& current() const noexcept { return m_current; }

    [[nodiscard]] std::uint64_t generation() const noexcept {
        return m_current ? m_current->head.generation : 0;
    }

    /// Records that `generation` was the platform's latest at `as_of`. Ignored unless it is the
    /// current generation.
    void confirm_fresh(std::uint64_t generation, clock::time_point as_of);

    /// Last time at which the current generation is known to have been the platform's latest;
    /// nullopt if unknown.
    [[nodiscard]] std::optional<clock::time_point> fresh_as_of() const noexcept {
        return m_fresh_as_of;
    }

    [[nodiscard]] links::config_summary summary(clock::time_point now) const;

    /// Records that the current generation is relayed for `origin`. Returns false if it already
    /// was.
    bool mark_relayed(const instance_id& origin) { return m_relayed.insert(origin).second; }

private:
    const config_codec& m_codec;
    std::optional<configuration> m_current;
    std::optional<configuration> m_incoming;
    std::optional<clock::time_point> m_fresh_as_of;
    std::set<instance_id> m_relayed; ///< origins for which the current generation was relayed
};

} // namespace oriole::app
