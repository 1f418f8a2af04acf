#include "config/sample_document.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace arbutuscrank;

namespace {

/// \brief Generates a valid, normalized document of random size.
Document generateDocument(std::uint32_t seed)
{
    std::mt19937 generator(seed);
    const auto drawBelow
        = [&generator](std::uint32_t limit) { return static_cast<std::uint32_t>(generator()) % limit; };
    auto document = sampleDocument();
    for (std::uint32_t n = drawBelow(300); n > 0; --n) {
        Account account = document.accounts.front();
        account.name = "account-" + std::to_string(n);
        account.keys = { { "key-" + std::to_string(n), sha256Hex(account.name), drawBelow(2) == 1 } };
        account.ratePerSecond = drawBelow(1'000'000) / 7.0;
        account.services = { "kitty" };
        document.accounts.push_back(account);
    }
    for (std::uint32_t n = drawBelow(5); n > 0; --n) {
        Service service = document.services.front();
        service.name = "service-" + std::to_string(n);
        service.pathPrefix = '/' + service.name + '/';
        service.openPathPrefixes.clear();
        service.targets.clear();
        document.services.push_back(service);
    }
    for (std::uint32_t n = drawBelow(2000); n > 0; --n) {
        const auto cidr = "11." + std::to_string(n / 250) + '.' + std::to_string(n % 250) + ".0/24";
        document.steering.blocks.push_back({ cidr, "north" });
    }
    if (drawBelow(2) == 1)
        document.drains.clear();
    normalize(document);
    return document;
}

} // namespace

// Guards against a field that is lost or rounded when a document is split into parts, joined or written as JSON.
RC_GTEST_PROP(Parts, JoinRestoresSplitDocument, ())
{
    const auto document = generateDocument(*rc::gen::arbitrary<std::uint32_t>());
    RC_ASSERT(validate(document).empty());
    const auto parts = splitDocument(document);
    RC_ASSERT(joinDocument(parts) == std::optional(document));
    RC_ASSERT(std::get<Document>(parseDocument(toPrettyJson(document))) == document);
    RC_ASSERT(std::get<Document>(parseDocument(toJson(document))) == document);
    RC_ASSERT(diffDocuments(document, document).empty());
}

// Daemons fetch every part whose text differs. Guards against an assignment of accounts to parts that depends on other
// accounts, which would make all daemons fetch many parts after a small change.
RC_GTEST_PROP(Parts, ChangeOfOneAccountChangesOnePart, ())
{
    const auto before = generateDocument(*rc::gen::arbitrary<std::uint32_t>());
    auto after = before;
    auto& account = after.accounts[*rc::gen::inRange<std::size_t>(0, after.accounts.size())];
    account.ratePerSecond += 1;
    const auto partsBefore = splitDocument(before);
    const auto partsAfter = splitDocument(after);
    RC_ASSERT(partsBefore.size() == partsAfter.size());
    int changedParts = 0;
    for (const auto& [name, text] : partsAfter)
        changedParts += partsBefore.at(name) != text ? 1 : 0;
    RC_ASSERT(changedParts == 1);
    const auto differences = diffDocuments(before, after);
    RC_ASSERT(differences.size() == 1U);
    RC_ASSERT(differences[0].path == "/accounts/" + account.name + "/ratePerSecond");
}

// Guards against parts that are too large for the store, and against an inserted block that moves the boundaries of all
// chunks after it, so that every daemon fetches them again.
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
    std::map<std::string, int> textsBefore;
    for (const auto& [name, text] : before)
        ++textsBefore[text];
    int newParts = 0;
    int chunkCount = 0;
    for (const auto& [name, text] : after) {
        EXPECT_LE(text.size(), maxPartBytes);
        newParts += textsBefore.contains(text) ? 0 : 1;
        chunkCount += name.starts_with("blocks/") ? 1 : 0;
    }
    EXPECT_GE(chunkCount, 4);
    EXPECT_LE(newParts, 2);
}

// Guards against a configuration that is assembled from corrupted, incomplete or unknown parts.
TEST(Parts, JoinRefusesInvalidParts)
{
    const auto parts = splitDocument(sampleDocument());
    ASSERT_TRUE(joinDocument(parts));
    for (const auto& [name, text] : parts) {
        auto damagedParts = parts;
        damagedParts[name] = text.substr(0, text.size() / 2);
        EXPECT_FALSE(joinDocument(damagedParts)) << name;
        damagedParts[name] = R"({"unknown":[]})";
        EXPECT_FALSE(joinDocument(damagedParts)) << name;
    }
    for (const auto* name : { "regions", "steering", "services/kitty" }) {
        auto incompleteParts = parts;
        incompleteParts.erase(name);
        EXPECT_FALSE(joinDocument(incompleteParts)) << name;
    }
    auto withUnknownPart = parts;
    withUnknownPart["other"] = "{}";
    EXPECT_FALSE(joinDocument(withUnknownPart));
}
