#pragma once

#include "machines/types/promotion_messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::machines {

/// Parameters of one promotion, that is, of one change of a database's primary.
struct promotion_plan {
    std::set<server_name> members; ///< all servers of the database
    /// Must be higher than every term that this instance has seen or used. An instance never uses
    /// a term for two promotions, since messages of the first may still be in flight when the
    /// second starts.
    std::uint64_t term = 0;
    /// Servers to prefer when several have the longest log: those in service, or the target of a
    /// planned change. If empty, no server is preferred.
    std::set<server_name> preferred;

    [[nodiscard]] std::size_t majority() const noexcept { return members.size() / 2 + 1; }

    friend bool operator==(const promotion_plan&, const promotion_plan&) = default;
};

/// State machine of one change of primary. It takes events and returns the messages to send. The
/// owner of the object sends them, reports each missing answer (`server_unresponsive`) to have its
/// message repeated, and reports timeouts. Events of other terms and late or duplicate answers are
/// ignored. Not thread-safe.
class promotion {
public:
    virtual ~promotion() = default;

    /// Precondition: the state is idle.
    [[nodiscard]] virtual std::vector<promotion_action> start() = 0;

    [[nodiscard]] virtual std::vector<promotion_action> handle(const promotion_event& event) = 0;

    [[nodiscard]] virtual promotion_state state() const noexcept = 0;

    /// The server chosen as new primary; none before the state `promoting`.
    [[nodiscard]] virtual std::optional<server_name> chosen() const = 0;

    /// The plan's term or a higher one that a server reported when it refused a message. The next
    /// promotion must use a higher term.
    [[nodiscard]] virtual std::uint64_t highest_term() const noexcept = 0;
};

[[nodiscard]] std::unique_ptr<promotion> make_promotion(promotion_plan plan);

} // namespace oriole::machines
