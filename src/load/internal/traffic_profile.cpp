#include "load/traffic_profile.h"

namespace oriole::load {
namespace {

/// Rows that a client reads to show one page, such as a day's diary or a part of the catalogue.
constexpr std::size_t rows_per_page = 4;

/// Fractions of the kinds of requests.
struct kind_shares {
    double read = 0;      ///< reads of both kinds among all requests
    double recent = 0;    ///< recent reads among the reads
    double increment = 0; ///< increments among the writes
};

/// A constant rate with fixed fractions of the kinds of requests.
class fixed_mix_profile : public traffic_profile {
public:
    explicit fixed_mix_profile(const kind_shares& shares) : m_shares(shares) {}

    [[nodiscard]] request_kind next_kind(random_source& random) override {
        const bool reads = uniform(random) < m_shares.read;
        const double choice = uniform(random);
        if (reads) {
            return choice < m_shares.recent ? request_kind::recent_read : request_kind::read;
        }
        return choice < m_shares.increment ? request_kind::increment : request_kind::write;
    }

    [[nodiscard]] std::size_t rows_per_read(request_kind) const override { return 1; }

    [[nodiscard]] double rate_factor(double) const override { return 1; }

private:
    kind_shares m_shares;
};

/// A music service: mostly track lookups and some catalogue pages; writes of listening progress and
/// a few purchases.
class stillwasser_profile final : public fixed_mix_profile {
public:
    explicit stillwasser_profile(double read_share) : fixed_mix_profile({read_share, 0.25, 0.2}) {}

    [[nodiscard]] std::size_t rows_per_read(request_kind kind) const override {
        return kind == request_kind::recent_read ? rows_per_page : 1;
    }
};

/// A nursery diary: reads of diary pages that may be slightly stale, and writes of meal entries.
/// The rate rises when parents pick up their children.
class little_sprout_profile final : public fixed_mix_profile {
public:
    explicit little_sprout_profile(double read_share) : fixed_mix_profile({read_share, 0.6, 0.4}) {}

    [[nodiscard]] std::size_t rows_per_read(request_kind kind) const override {
        return kind == request_kind::recent_read ? rows_per_page : 1;
    }

    /// Pick-up time is the middle third of the load. The mean over the whole load is 1.
    [[nodiscard]] double rate_factor(double progress) const override {
        constexpr double third = 1.0 / 3;
        const bool pick_up = progress >= third && progress < 2 * third;
        return pick_up ? 1.8 : 0.6;
    }
};

} // namespace

std::unique_ptr<traffic_profile> make_traffic_profile(const std::string& name, double read_share) {
    if (name == "stillwasser") {
        return std::make_unique<stillwasser_profile>(read_share);
    }
    if (name == "little-sprout") {
        return std::make_unique<little_sprout_profile>(read_share);
    }
    if (name == "plain") {
        return std::make_unique<fixed_mix_profile>(kind_shares{read_share, 0, 0.2});
    }
    return nullptr;
}

double uniform(random_source& random) {
    constexpr unsigned unused_bits = 11;
    constexpr double scale = 0x1p-53;
    return static_cast<double>(random.next() >> unused_bits) * scale;
}

} // namespace oriole::load
