#include "node/list_gap_search.hpp"

#include "node/paged_listing.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace arbutuscrank::node {

// Guards against targets that VMs miss although the store shows them, and against a search that does not end.
TEST(ListGapSearch, FindsTheLeastTextThatLeadsOn)
{
    const std::vector<std::string> boundaries { "a", "t-0", "upstrea", "~~~", "t-\xc3\xa4x", "B", "0" };
    for (const auto& boundary : boundaries) {
        ListGapSearch search({}, {});
        for (int i = 0; i < PagedListing::maxSearchedPages; ++i) {
            const auto text = search.nextText();
            if (text.empty())
                break;
            StoreListing page { .objects = { { .name = boundary + "-1" } } };
            page.hasMore = text < boundary;
            search.recordPage(text, page);
        }
        const auto found = search.takeFound();
        ASSERT_TRUE(found) << boundary;
        EXPECT_GE(found->after, boundary);
        EXPECT_LT(found->after, boundary + "~") << boundary;
    }
}

// Guards against a search that asks for the same page for ever.
TEST(ListGapSearch, TextsAreBetweenTheOthers)
{
    EXPECT_EQ(textBetween("", std::nullopt), "O");
    EXPECT_EQ(textBetween("t-01", "t-03"), "t-02");
    EXPECT_EQ(textBetween("a", "b"), "aO");
    EXPECT_EQ(textBetween("a~", "b"), "a~O");
    EXPECT_EQ(textBetween("a", "a "), "");
    EXPECT_EQ(textBetween("a\xc3\xa4", "b"), "a\xc3\xa4O");
}

} // namespace arbutuscrank::node
