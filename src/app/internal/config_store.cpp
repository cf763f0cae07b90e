#include "app/internal/config_store.h"

#include <algorithm>
#include <utility>

namespace oriole::app {

bool config_store::begin_assembly(const std::string& head_text) {
    configuration next{m_codec.read_head(head_text), head_text, {}};
    if (next.head.generation <= generation()) {
        return false;
    }
    if (m_current) {
        for (const auto& digest : next.head.buckets) {
            const auto kept = m_current->chunks.find(digest);
            if (kept != m_current->chunks.end()) {
                next.chunks.insert(*kept);
            }
        }
    }
    m_incoming = std::move(next);
    return true;
}

std::vector<std::string> config_store::missing_chunks() const {
    std::set<std::string> wanted;
    if (m_incoming) {
        for (const auto& digest : m_incoming->head.buckets) {
            // A bucket without objects has no chunk.
            if (!digest.empty() && m_incoming->chunks.count(digest) == 0) {
                wanted.insert(digest);
            }
        }
    }
    return {wanted.begin(), wanted.end()};
}

bool config_store::add_chunk(const std::string& digest, const std::string& text) {
    if (!m_incoming) {
        return false;
    }
    const auto& buckets = m_incoming->head.buckets;
    const bool wanted = std::find(buckets.begin(), buckets.end(), digest) != buckets.end();
    if (!wanted || m_codec.chunk_digest(text) != digest) {
        return false;
    }
    m_incoming->chunks.emplace(digest, text);
    return true;
}

bool config_store::commit() {
    if (!m_incoming || !missing_chunks().empty() || m_incoming->head.generation <= generation()) {
        return false;
    }
    m_current = std::move(m_incoming);
    m_incoming.reset();
    m_fresh_as_of.reset();
    m_relayed.clear();
    return true;
}

void config_store::confirm_fresh(std::uint64_t confirmed, clock::time_point as_of) {
    if (confirmed == generation() && (!m_fresh_as_of || *m_fresh_as_of < as_of)) {
        m_fresh_as_of = as_of;
    }
}

links::config_summary config_store::summary(clock::time_point now) const {
    links::config_summary found;
    if (!m_current) {
        return found;
    }
    found.generation = m_current->head.generation;
    found.digest = m_current->head.digest;
    if (m_fresh_as_of) {
        found.age = std::chrono::ceil<std::chrono::milliseconds>(now - *m_fresh_as_of);
    }
    return found;
}

} // namespace oriole::app
