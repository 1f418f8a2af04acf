#include <arbutuscrank/config/codec.hpp>

#include <gtest/gtest.h>

// Guards against a change of the notation of digests, after which no key would match its stored digest.
TEST(Sha256, MatchesFips180Example)
{
    EXPECT_EQ(arbutuscrank::sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
