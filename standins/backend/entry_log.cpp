#include "entry_log.h"

#include <algorithm>

namespace oriole::standins {

log_position entry_log::last_position() const {
    return m_entries.empty() ? log_position() : m_entries.back().position;
}

bool entry_log::contains(log_position position) const {
    if (position.offset() == 0) {
        return true;
    }
    return position.offset() <= m_entries.size() &&
           at(position.offset()).position.term() == position.term();
}

bool entry_log::may_receive(log_position position) const {
    return last_position().term() <= position.term();
}

const log_entry* entry_log::find_request(const std::string& request_id) const {
    const auto found = m_offset_by_request.find(request_id);
    return found == m_offset_by_request.end() ? nullptr : &at(found->second);
}

log_position entry_log::last_position_up_to_term(std::uint64_t term) const {
    const auto above = std::upper_bound(
        m_entries.begin(), m_entries.end(), term,
        [](std::uint64_t limit, const log_entry& entry) { return limit < entry.position.term(); });
    return above == m_entries.begin() ? log_position() : std::prev(above)->position;
}

void entry_log::append(log_entry entry) {
    if (!entry.request_id.empty()) {
        m_offset_by_request.emplace(entry.request_id, entry.position.offset());
    }
    m_entries.push_back(std::move(entry));
}

void entry_log::truncate(std::uint64_t offset) {
    while (m_entries.size() > offset) {
        m_offset_by_request.erase(m_entries.back().request_id);
        m_entries.pop_back();
    }
}

} // namespace oriole::standins
