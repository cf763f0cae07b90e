#include "zones/internal/rendezvous_hash.h"

#include <xxhash.h>

namespace oriole::zones {

std::uint64_t rendezvous_hash(const std::string& key, const std::string& member) {
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

} // namespace oriole::zones
