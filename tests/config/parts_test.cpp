#include "config/sample_document.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace arbutuscrank;

namespace {

/// \brief A document of random size; every reference is valid.
Document randomDocument(std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto below = [&random](std::uint32_t limit) { return static_cast<std::uint32_t>(random()) % limit; };
    auto document = sampleDocument();
    for (std::uint32_t n = below(300); n > 0; --n) {
        Account account = document.accounts.front();
        account.name = "account-" + std::to_string(n);
        account.keys = { { "key-" + std::to_string(n), sha256Hex(account.name), below(2) == 1 } };
        account.ratePerSecond = below(1'000'000) / 7.0;
        account.services = { "kitty" };
        document.accounts.push_back(account);
    }
    for (std::uint32_t n = below(5); n > 0; --n) {
        Service service = document.services.front();
        service.name = "service-" + std::to_string(n);
        service.pathPrefix = '/' + service.name + '/';
        service.openPathPrefixes.clear();
        service.targets.clear();
        document.services.push_back(service);
    }
    for (std::uint32_t n = below(2000); n > 0; --n) {
        const auto cidr = "11." + std::to_string(n / 250) + '.' + std::to_string(n % 250) + ".0/24";
        document.steering.blocks.push_back({ cidr, "north" });
    }
    if (below(2) == 1)
        document.drains.clear();
    normalize(document);
    return document;
}

} // namespace

// Guards against a field that is lost or rounded on its way through the store.
RC_GTEST_PROP(Parts, JoinGivesBackWhatSplitTook, ())
{
    const auto document = randomDocument(*rc::gen::arbitrary<std::uint32_t>());
    RC_ASSERT(validate(document).empty());
    const auto parts = splitDocument(document);
    RC_ASSERT(joinDocument(parts) == std::optional(document));
    RC_ASSERT(std::get<Document>(parseDocument(toPrettyJson(document))) == document);
    RC_ASSERT(std::get<Document>(parseDocument(toJson(document))) == document);
    RC_ASSERT(diffDocuments(document, document).empty());
}

// Guards against changes that make every daemon fetch much more than what changed.
RC_GTEST_PROP(Parts, ChangeOfOneAccountChangesOnePart, ())
{
    const auto before = randomDocument(*rc::gen::arbitrary<std::uint32_t>());
    auto after = before;
    auto& account = after.accounts[*rc::gen::inRange<std::size_t>(0, after.accounts.size())];
    account.ratePerSecond += 1;
    const auto partsBefore = splitDocument(before);
    const auto partsAfter = splitDocument(after);
    RC_ASSERT(partsBefore.size() == partsAfter.size());
    int changed = 0;
    for (const auto& [name, text] : partsAfter)
        changed += partsBefore.at(name) != text ? 1 : 0;
    RC_ASSERT(changed == 1);
    const auto differences = diffDocuments(before, after);
    RC_ASSERT(differences.size() == 1U);
    RC_ASSERT(differences[0].path == "/accounts/" + account.name + "/ratePerSecond");
}

// Guards against parts that the store refuses, and against an added block that rewrites all chunks behind it.
TEST(Parts, BlockChunksAreBoundedAndStable)
{
    auto document = sampleDocument();
    document.steering.blocks.clear();
    for (int n = 0; n < 100'000; ++n)
        document.steering.blocks.push_back({ "20." + std::to_string(n / 65536) + '.' + std::to_string(n / 256 % 256)
                + '.' + std::to_string(n % 256) + "/32",
            "north" });
    const auto before = splitDocument(document);
    document.steering.blocks.insert(document.steering.blocks.begin(), { "19.0.0.0/8", "north" });
    EXPECT_TRUE(validate(document).empty());
    const auto after = splitDocument(document);
    std::map<std::string, int> known;
    for (const auto& [name, text] : before)
        ++known[text];
    int added = 0;
    int chunks = 0;
    for (const auto& [name, text] : after) {
        EXPECT_LE(text.size(), maxPartBytes);
        added += known.contains(text) ? 0 : 1;
        chunks += name.starts_with("blocks/") ? 1 : 0;
    }
    EXPECT_GE(chunks, 4);
    EXPECT_LE(added, 2);
}

// Guards against a damaged or incomplete set of parts being put in force.
TEST(Parts, JoinRefusesDamagedParts)
{
    const auto parts = splitDocument(sampleDocument());
    ASSERT_TRUE(joinDocument(parts));
    for (const auto& [name, text] : parts) {
        auto damaged = parts;
        damaged[name] = text.substr(0, text.size() / 2);
        EXPECT_FALSE(joinDocument(damaged)) << name;
        damaged[name] = R"({"unknown":[]})";
        EXPECT_FALSE(joinDocument(damaged)) << name;
    }
    for (const auto* name : { "regions", "steering", "services/kitty" }) {
        auto incomplete = parts;
        incomplete.erase(name);
        EXPECT_FALSE(joinDocument(incomplete)) << name;
    }
    auto unknown = parts;
    unknown["other"] = "{}";
    EXPECT_FALSE(joinDocument(unknown));
}
