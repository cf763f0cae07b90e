#pragma once

#include "fleet/types/store_revision.h"

#include <cstdint>

namespace oriole::fleet {

/// Number of low bits of a fencing token that hold the revision's number. Leaves room for 400
/// changes a second over more than 80 years, and for 8,000 eras in a token that a JSON number
/// represents exactly.
constexpr unsigned token_number_bits = 40;

/// Number of restores of the store before the revision was written.
[[nodiscard]] constexpr std::uint64_t restores_before(const store_revision& written) {
    return written.era > 1 ? written.era - 1 : 0;
}

/// Fencing token of an order that the store acknowledged with `written`. It increases with the
/// revision, also over a restore of the store. In the first era it is the revision's number.
[[nodiscard]] constexpr std::uint64_t fencing_token(const store_revision& written) {
    return (restores_before(written) << token_number_bits) + written.number;
}

/// Whether the store was restored after the order with the token `fence` was written and before it
/// was read with the revision `read`.
[[nodiscard]] constexpr bool restored_since(std::uint64_t fence, const store_revision& read) {
    return (fence >> token_number_bits) < restores_before(read);
}

} // namespace oriole::fleet
