#pragma once

#include "machines/promotion.h"

#include <map>

namespace oriole::machines {

/// Fences a majority of the servers, promotes the fenced server with the longest log, and has the
/// others replicate from it.
class majority_promotion final : public promotion {
public:
    explicit majority_promotion(promotion_plan plan);

    [[nodiscard]] std::vector<promotion_action> start() override;
    [[nodiscard]] std::vector<promotion_action> handle(const promotion_event& event) override;

    [[nodiscard]] promotion_state state() const noexcept override { return m_state; }

    [[nodiscard]] std::optional<server_name> chosen() const override { return m_chosen; }

    [[nodiscard]] std::uint64_t highest_term() const noexcept override { return m_highest_term; }

private:
    using actions = std::vector<promotion_action>;

    [[nodiscard]] actions on(const server_fenced& event);
    [[nodiscard]] actions on(const server_promoted& event);
    [[nodiscard]] actions on(const server_follows& event);
    [[nodiscard]] actions on(const server_refused& event);
    [[nodiscard]] actions on(const server_unresponsive& event) const;
    [[nodiscard]] actions on(const promotion_timeout& event);

    [[nodiscard]] actions promote_longest_log();
    [[nodiscard]] server_name longest_log() const;
    [[nodiscard]] actions redirect_others();
    [[nodiscard]] promotion_action request(promotion_request kind, const server_name& server) const;

    promotion_plan m_plan;
    promotion_state m_state = promotion_state::idle;
    std::map<server_name, log_position> m_fenced;
    std::set<server_name> m_refused;
    std::set<server_name> m_following;
    std::optional<server_name> m_chosen;
    std::uint64_t m_highest_term;
};

} // namespace oriole::machines
