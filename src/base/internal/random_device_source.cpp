#include "base/random_source.h"

#include <array>
#include <cstdio>
#include <random>

namespace oriole {
namespace {

class mersenne_twister_source final : public random_source {
public:
    explicit mersenne_twister_source(std::uint64_t seed) : m_engine(seed) {}

    [[nodiscard]] std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

constexpr int bits_per_word = 32;

} // namespace

std::unique_ptr<random_source> make_random_source() {
    std::random_device device;
    const std::uint64_t high = device();
    return make_random_source((high << bits_per_word) | device());
}

std::unique_ptr<random_source> make_random_source(std::uint64_t seed) {
    return std::make_unique<mersenne_twister_source>(seed);
}

std::string make_unique_id(random_source& random) {
    constexpr std::size_t size_with_terminator = 33;
    std::array<char, size_with_terminator> text{};
    const auto high = static_cast<unsigned long long>(random.next());
    const auto low = static_cast<unsigned long long>(random.next());
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return text.data();
}

} // namespace oriole
