#pragma once

namespace oriole::routing {

/// Whether a statement has been handed to a server or a gateway. Shared by the executor and by
/// those who end a statement that is still waiting to be sent. Not thread-safe; used on the traffic
/// thread.
class statement_handover {
public:
    /// Records that the statement is sent now. Returns false if it was withdrawn; it must not be
    /// sent then.
    [[nodiscard]] bool hand_over() noexcept {
        m_handed_over = m_handed_over || !m_withdrawn;
        return !m_withdrawn;
    }

    /// Records that the attempt has ended, and that nothing of it is kept.
    void take_back() noexcept { m_handed_over = false; }

    /// Prevents that the statement is sent from now on. Returns whether nothing of it is kept.
    bool withdraw() noexcept {
        m_withdrawn = true;
        return !m_handed_over;
    }

    [[nodiscard]] bool withdrawn() const noexcept { return m_withdrawn; }

    /// Returns whether the statement was withdrawn and nothing of it is kept.
    [[nodiscard]] bool withdrawn_unsent() const noexcept { return m_withdrawn && !m_handed_over; }

private:
    bool m_handed_over = false;
    bool m_withdrawn = false;
};

} // namespace oriole::routing
