#include <arbutuscrank/config/codec.hpp>

#include <gtest/gtest.h>

// Guards against a digest in another notation: keys in stored documents would all stop working.
TEST(Sha256, MatchesFips180Example)
{
    EXPECT_EQ(arbutuscrank::sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
