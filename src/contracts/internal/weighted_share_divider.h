#pragma once

#include "contracts/share_divider.h"

#include <cstdint>

namespace oriole::contracts {

class weighted_share_divider final : public share_divider {
public:
    /// Precondition: `threads` is positive.
    explicit weighted_share_divider(std::size_t threads);

    void add_demand(std::size_t thread, const account_name& account, double weight) override;
    void advance() override;
    [[nodiscard]] thread_shares
    reduced_shares(const std::map<account_name, share>& held) const override;
    [[nodiscard]] bool has_pending_increase() const override;
    [[nodiscard]] thread_shares next_shares(const std::map<account_name, share>& held) override;

private:
    /// Fraction of a share for each thread, in thousandths. They add up to at most
    /// `fraction_scale`.
    using fractions = std::vector<std::int64_t>;

    struct division {
        std::vector<double> demand;
        fractions present;
        fractions next;
    };

    [[nodiscard]] fractions even_fractions() const;
    [[nodiscard]] fractions fractions_by_demand(const std::vector<double>& demand) const;
    [[nodiscard]] division& find_or_add(const account_name& account);
    template <class SelectFraction>
    [[nodiscard]] thread_shares divide(const std::map<account_name, share>& held,
                                       SelectFraction select_fraction) const;

    std::size_t m_threads;
    std::map<account_name, division> m_divisions;
};

} // namespace oriole::contracts
