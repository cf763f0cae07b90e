#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace oriole {

/// Random numbers for jitter, sampling and identifiers. Not thread-safe; each thread uses its own.
class random_source {
public:
    virtual ~random_source() = default;

    /// Uniform over all 64-bit values.
    [[nodiscard]] virtual std::uint64_t next() = 0;
};

/// Creates a generator that is seeded by the operating system.
[[nodiscard]] std::unique_ptr<random_source> make_random_source();

/// Creates a generator with a fixed seed, for reproducible runs.
[[nodiscard]] std::unique_ptr<random_source> make_random_source(std::uint64_t seed);

/// Generates a 128-bit identifier of 32 hexadecimal digits, unique with overwhelming probability.
[[nodiscard]] std::string make_unique_id(random_source& random);

} // namespace oriole
