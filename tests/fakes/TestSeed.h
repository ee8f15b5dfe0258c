#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace anvilwalk::fakes {

// Seeds of a randomised test: the one in ANVILWALK_SEED alone to replay a failure, else 1 to count.
inline std::vector<std::uint64_t> testSeeds(std::uint64_t count)
{
    if (const char* text = std::getenv("ANVILWALK_SEED"))
        return { std::stoull(text) };
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        seeds.push_back(seed);
    return seeds;
}

} // namespace anvilwalk::fakes
