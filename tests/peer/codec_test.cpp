#include <arbutuscrank/core/random.hpp>
#include <arbutuscrank/peer/codec.hpp>

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

namespace arbutuscrank {

namespace {

    // --- Members of a message, enumerated at compile time so that new ones are covered -------------------------------

    /// Initialises a member of any type, in the unevaluated context of \ref countMembers.
    struct ConvertibleToAny {
        template <typename T> operator T() const; // NOLINT(*-explicit-*)
    };

    template <typename T, typename... A> constexpr std::size_t countMembers()
    {
        if constexpr (requires { T { A {}..., ConvertibleToAny {} }; })
            return countMembers<T, A..., ConvertibleToAny>();
        else
            return sizeof...(A);
    }

    template <typename T> auto members(T& m)
    {
        constexpr auto count = countMembers<T>();
        static_assert(count >= 1 && count <= 9);
        // clang-format off
        if constexpr (count == 1) { auto& [a] = m; return std::tie(a); }
        if constexpr (count == 2) { auto& [a, b] = m; return std::tie(a, b); }
        if constexpr (count == 3) { auto& [a, b, c] = m; return std::tie(a, b, c); }
        if constexpr (count == 4) { auto& [a, b, c, d] = m; return std::tie(a, b, c, d); }
        if constexpr (count == 5) { auto& [a, b, c, d, e] = m; return std::tie(a, b, c, d, e); }
        if constexpr (count == 6) { auto& [a, b, c, d, e, f] = m; return std::tie(a, b, c, d, e, f); }
        if constexpr (count == 7) { auto& [a, b, c, d, e, f, g] = m; return std::tie(a, b, c, d, e, f, g); }
        if constexpr (count == 8) { auto& [a, b, c, d, e, f, g, h] = m; return std::tie(a, b, c, d, e, f, g, h); }
        if constexpr (count == 9) { auto& [a, b, c, d, e, f, g, h, i] = m; return std::tie(a, b, c, d, e, f, g, h, i); }
        // clang-format on
    }

    // --- Random values -----------------------------------------------------------------------------------------------

    /// Fills every member of a message with random values.
    class RandomFiller {
    public:
        explicit RandomFiller(std::uint64_t seed)
            : m_random(seed)
        {
        }

        void fill(std::string& value)
        {
            // Half of the texts are valid SHA-256 hashes, which are encoded differently.
            const bool hash = m_random.below(2) == 0;
            value.clear();
            for (auto n = hash ? 64 : m_random.below(70); n > 0; --n)
                value.push_back(hash ? "0123456789abcdef"[m_random.below(16)] : static_cast<char>(m_random.next()));
        }
        void fill(bool& value) { value = m_random.below(2) == 1; }
        void fill(RecordState& value) { value = static_cast<RecordState>(m_random.below(5)); }
        template <std::integral T> void fill(T& value)
        {
            value = m_random.below(4) == 0 ? T {} : static_cast<T>(m_random.next() >> m_random.below(64));
        }
        template <typename T> void fill(std::vector<T>& values)
        {
            values.resize(m_random.below(4));
            for (auto& it : values)
                fill(it);
        }
        template <typename T> void fill(std::map<std::string, T>& values)
        {
            for (auto n = m_random.below(4); n > 0; --n) {
                std::string key;
                fill(key);
                fill(values[key]);
            }
        }
        template <typename T> void fill(T& value)
        {
            std::apply([this](auto&... it) { (fill(it), ...); }, members(value));
        }
        template <std::size_t N = 0> PeerMessage message(std::size_t type)
        {
            std::variant_alternative_t<N, PeerMessage> value;
            if constexpr (N + 1 < std::variant_size_v<PeerMessage>) {
                if (type != N)
                    return message<N + 1>(type);
            }
            fill(value);
            return value;
        }

    private:
        Random m_random;
    };

    template <typename T> bool isEqual(T& a, T& b);
    template <typename T> bool isEqual(std::vector<T>& a, std::vector<T>& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](auto& x, auto& y) { return isEqual(x, y); });
    }
    template <typename T> bool isEqual(std::map<std::string, T>& a, std::map<std::string, T>& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](auto& x, auto& y) { return x.first == y.first && isEqual(x.second, y.second); });
    }
    template <typename T> bool isEqual(T& a, T& b)
    {
        if constexpr (std::is_aggregate_v<T>) {
            return std::apply(
                [&b](auto&... x) {
                    return std::apply([&x...](auto&... y) { return (isEqual(x, y) && ...); }, members(b));
                },
                members(a));
        } else {
            return a == b;
        }
    }

    bool isProtocolError(std::span<const std::uint8_t> bytes)
    {
        const auto result = decodeMessage(bytes);
        return !result && result.error().code == ErrorCode::Protocol;
    }

} // namespace

RC_GTEST_PROP(PeerCodec, EveryMessageSurvivesTheRoundTrip, (std::uint64_t seed))
{
    for (std::size_t type = 0; type < std::variant_size_v<PeerMessage>; ++type) {
        auto message = RandomFiller(seed).message(type);
        auto decoded = decodeMessage(encodeMessage(message));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value().index() == type);
        RC_ASSERT(std::visit(
            [&decoded](auto& it) { return isEqual(it, std::get<std::decay_t<decltype(it)>>(decoded.value())); },
            message));
    }
}

RC_GTEST_PROP(PeerCodec, RandomBytesAreDecodedOrRejectedWithoutAnException, (const std::vector<std::uint8_t>& bytes))
{
    const auto result = decodeMessage(bytes);
    RC_ASSERT(result.has_value() || result.error().code == ErrorCode::Protocol);
}

RC_GTEST_PROP(PeerCodec, DamagedMessagesAreDecodedOrRejectedWithoutAnException, (std::uint64_t seed))
{
    Random random(seed);
    auto bytes = encodeMessage(RandomFiller(seed).message(random.below(std::variant_size_v<PeerMessage>)));
    bytes[random.below(bytes.size())] = static_cast<std::uint8_t>(random.next());
    const auto result = decodeMessage(bytes);
    RC_ASSERT(result.has_value() || result.error().code == ErrorCode::Protocol);
}

RC_GTEST_PROP(PeerCodec, EveryTruncationIsRejected, (std::uint64_t seed))
{
    const auto bytes = encodeMessage(RandomFiller(seed).message(seed % std::variant_size_v<PeerMessage>));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        RC_ASSERT(isProtocolError(std::span(bytes).first(n)));
}

TEST(PeerCodec, RejectsOtherVersionsTagsAndTypes)
{
    using nlohmann::json;
    const auto rejects = [](const json& tree) { return isProtocolError(json::to_cbor(tree)); };
    EXPECT_FALSE(rejects(json::array({ 1, 5, { { "s", 3 } } })));
    EXPECT_TRUE(rejects(json::array({ 2, 5, { { "s", 3 } } }))) << "version";
    EXPECT_TRUE(rejects(json::array({ 1, 15, json::object() }))) << "type tag";
    EXPECT_TRUE(rejects(json::array({ 1, 5, { { "s", -3 } } }))) << "negative number";
    EXPECT_TRUE(rejects(json::array({ 1, 5, { { "s", 1ULL << 32U } } }))) << "number too large for its field";
    EXPECT_TRUE(rejects(json::array({ 1, 5, { { "s", "3" } } }))) << "text instead of a number";
    EXPECT_TRUE(rejects(json::array({ 1, 5, { { "s", 3.0 } } }))) << "floating point number";
    EXPECT_TRUE(rejects(json::array({ 1, 9, { { "s", 5 } } }))) << "record state out of range";
    EXPECT_TRUE(rejects(json::array({ 1, 5, json::object(), 0 }))) << "extra element";
    EXPECT_TRUE(rejects(json::array({ 1, 2, { { "h", { json::binary({ 1, 2 }) } } } }))) << "hash too short";
    auto trailing = json::to_cbor(json::array({ 1, 5, { { "s", 3 } } }));
    trailing.push_back(0);
    EXPECT_TRUE(isProtocolError(trailing)) << "trailing bytes";
    const std::vector<std::uint8_t> duplicateField { 0x83, 1, 5, 0xa2, 0x61, 's', 3, 0x61, 's', 4 };
    EXPECT_TRUE(isProtocolError(duplicateField)) << "duplicate field";
}

// Guards against stack overflow and against memory use far beyond the size of the input.
TEST(PeerCodec, RejectsDeepNestingHugeCountsAndOversizedInput)
{
    EXPECT_TRUE(isProtocolError(std::vector<std::uint8_t>(4U << 20U, 0x81))) << "arrays nested 4 million deep";
    EXPECT_TRUE(isProtocolError(std::vector<std::uint8_t>(4U << 20U, 0xa1)))
        << "4 MiB of map headers, each in the place of a key";
    const std::vector<std::uint8_t> hugeArray { 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff };
    EXPECT_TRUE(isProtocolError(hugeArray));
    const std::vector<std::uint8_t> hugeText { 0x83, 1, 5, 0xa1, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff };
    EXPECT_TRUE(isProtocolError(hugeText));
    std::vector<std::uint8_t> manyElements(4U << 20U, 0x00);
    manyElements[0] = 0x9f; // array of indefinite length
    manyElements.back() = 0xff;
    EXPECT_TRUE(isProtocolError(manyElements)) << "millions of elements";
    EXPECT_TRUE(isProtocolError(std::vector<std::uint8_t>((16U << 20U) + 1))) << "16 MiB + 1 zero bytes";
}

} // namespace arbutuscrank
