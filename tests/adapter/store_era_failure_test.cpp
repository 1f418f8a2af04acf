#include "node/collection_reader.hpp"
#include "node/loopback.hpp"
#include "node/shared_store.hpp"
#include "store.hpp"
#include "wire_names.hpp"

#include <gtest/gtest.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstring>

namespace arbutuscrank::platform {

namespace {

    namespace http = node::http;
    using node::Collection;
    using std::chrono::milliseconds;

    /// Stand-in for the store on loopback, with one object in each collection. Each of its answers names its era. A
    /// watch waits until the store comes back from a copy.
    class StandInStore {
    public:
        explicit StandInStore(node::asio::io_context& context)
            : m_acceptor(context, node::Tcp::endpoint(node::asio::ip::address_v4::loopback(), 0))
        {
            accept();
        }

        [[nodiscard]] node::Tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
        [[nodiscard]] std::size_t waitingWatches() const { return m_watches.size(); }

        /// Comes back from an older copy. Watches of the earlier era are answered with 410.
        void returnFromCopy(std::string newEra, std::uint64_t copiedRevision)
        {
            era = std::move(newEra);
            m_revision = copiedRevision;
            for (const auto& it : std::exchange(m_watches, {}))
                answer(it, http::status::gone, "{}");
        }

        std::string era = "4"; ///< as the answers name it; empty if they name none
        bool isFailing = false; ///< all calls fail, and their answers name the era nevertheless

    private:
        struct Connection {
            node::Tcp::socket socket;
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
        };
        using ConnectionPtr = std::shared_ptr<Connection>;

        void accept()
        {
            m_acceptor.async_accept([this](node::SystemError ec, node::Tcp::socket socket) {
                if (ec)
                    return;
                read(std::make_shared<Connection>(Connection { std::move(socket), {}, {} }));
                accept();
            });
        }

        void read(const ConnectionPtr& it)
        {
            it->request = {};
            http::async_read(it->socket, it->buffer, it->request, [this, it](node::SystemError ec, std::size_t) {
                if (!ec)
                    handle(it);
            });
        }

        void handle(const ConnectionPtr& it)
        {
            const std::string target(it->request.target());
            if (isFailing)
                answer(it, http::status::service_unavailable, "{}");
            else if (it->request.method() != http::verb::get)
                answer(it, http::status::created,
                    R"({"metadata":{"name":"vm-1","rev":)" + std::to_string(++m_revision) + "}}");
            else if (const auto at = target.find("watch="); at == std::string::npos)
                answer(it, http::status::ok,
                    R"({"items":[{"metadata":{"name":"main","rev":1},"spec":{}}],"at":)" + std::to_string(m_revision)
                        + R"(,"hasMore":false})");
            else if (std::stoull(target.substr(at + std::strlen("watch="))) > m_revision)
                answer(it, http::status::gone, "{}");
            else
                m_watches.push_back(it);
        }

        void answer(const ConnectionPtr& it, http::status status, const std::string& body)
        {
            const auto out = std::make_shared<http::response<http::string_body>>(status, 11);
            if (!era.empty())
                out->set(std::string(storeEraHeader), era);
            out->body() = body;
            out->prepare_payload();
            http::async_write(it->socket, *out, [this, it, out](node::SystemError ec, std::size_t) {
                if (!ec)
                    read(it);
            });
        }

        node::Tcp::acceptor m_acceptor;
        std::uint64_t m_revision = 20;
        std::vector<ConnectionPtr> m_watches;
    };

    /// A VM's client of the store, over HTTP.
    struct StoreEraHttpFailure : testing::Test {
        StoreEraHttpFailure()
        {
            store->setEraHandler([this](StoreEra era) { eras.push_back(era); });
        }

        template <typename T> Result<T> wait(std::optional<Result<T>>& answer)
        {
            if (!node::test::runUntil(context, [&] { return answer.has_value(); }))
                return Error { ErrorCode::Timeout, "test", {}, "no answer" };
            return std::move(*answer);
        }

        Result<node::StoreListing> list()
        {
            std::optional<Result<node::StoreListing>> answer;
            store->list(Collection::Policy, {}, [&](auto result) { answer = std::move(result); });
            return wait(answer);
        }

        Result<ObjectVersion> write()
        {
            std::optional<Result<ObjectVersion>> answer;
            store->write(Collection::Members, { "vm-1", 0, "{}" }, [&](auto result) { answer = std::move(result); });
            return wait(answer);
        }

        node::asio::io_context context;
        StandInStore server { context };
        std::shared_ptr<MetadataStore> client
            = std::make_shared<MetadataStore>(context, server.endpoint(), "127.0.0.1");
        std::shared_ptr<node::SharedStore> store = std::make_shared<node::SharedStore>(context, client);
        std::vector<StoreEra> eras;
    };

} // namespace

// EVAC, DRAIN. Guards against a rise that is not seen in the answer to a read, or only after the answer was applied.
TEST_F(StoreEraHttpFailure, RiseIsSeenOnARead)
{
    const auto before = list();
    ASSERT_TRUE(before);
    EXPECT_EQ(before.value().era, 5U);
    server.returnFromCopy("5", 8);
    // The call was sent in the earlier era, so that its caller may compare the answer with what it read then.
    const auto answerToOldCall = list();
    ASSERT_FALSE(answerToOldCall);
    EXPECT_EQ(answerToOldCall.error().step, "store.era");
    EXPECT_EQ(eras, (std::vector<StoreEra> { 5, 6 }));
    const auto after = list();
    ASSERT_TRUE(after);
    EXPECT_EQ(after.value().era, 6U);
    EXPECT_EQ(after.value().revision, 8U);
}

// EVAC, DRAIN. Guards against a rise that is not seen in an answer that says that the call failed.
TEST_F(StoreEraHttpFailure, RiseIsSeenOnAFailedRead)
{
    ASSERT_TRUE(list());
    server.returnFromCopy("5", 8);
    server.isFailing = true;
    const auto answer = list();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code, ErrorCode::Unavailable);
    EXPECT_EQ(eras, (std::vector<StoreEra> { 5, 6 }));
}

// Guards against a rise that is not seen in the answer to a write, and against a write that counts as done although it
// was sent with what the earlier era held.
TEST_F(StoreEraHttpFailure, RiseIsSeenOnTheAnswerToAWrite)
{
    ASSERT_TRUE(list());
    const auto before = write();
    ASSERT_TRUE(before);
    EXPECT_EQ(before.value(), 21U);
    server.returnFromCopy("5", 8);
    const auto answer = write();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code, ErrorCode::Unknown);
    EXPECT_EQ(eras, (std::vector<StoreEra> { 5, 6 }));
    const auto after = write();
    ASSERT_TRUE(after);
    EXPECT_EQ(after.value(), 10U);
}

// EVAC, DRAIN. Guards against a reader whose watch fails at the rise, and that then rejects the list of the new era
// because its revision is lower.
TEST_F(StoreEraHttpFailure, RiseIsSeenOnAFailedWatch)
{
    std::size_t listings = 0;
    std::vector<ErrorCode> failures;
    const auto reader = std::make_shared<node::CollectionReader>(context, store, Collection::Evacuations,
        node::CollectionReader::WatchTiming { std::chrono::seconds(5), milliseconds(1), std::chrono::seconds(5) },
        node::CollectionReader::Handlers { .onListed = [&](const auto&) { ++listings; },
            .onChanged = [](const node::StoreChange&) {},
            .onConfirmed = [](TimePoint) {},
            .onFailed = [&](const Error& error) { failures.push_back(error.code); } });
    store->setEraHandler([&](StoreEra era) {
        eras.push_back(era);
        if (eras.size() > 1)
            reader->restartInNewEra();
    });
    reader->start();
    ASSERT_TRUE(node::test::runUntil(context, [&] { return server.waitingWatches() == 1; }));
    EXPECT_EQ(reader->revision(), 20U);
    server.returnFromCopy("5", 8);
    ASSERT_TRUE(node::test::runUntil(context, [&] { return listings == 2 && server.waitingWatches() == 1; }));
    EXPECT_EQ(eras, (std::vector<StoreEra> { 5, 6 }));
    EXPECT_EQ(reader->revision(), 8U);
    EXPECT_TRUE(failures.empty()); // the restart abandons the failed watch
    reader->stop();
}

// Guards against answers that name no era, or none that can be read, or a lower one, that change anything.
TEST_F(StoreEraHttpFailure, OtherValuesAreNoRise)
{
    ASSERT_TRUE(list());
    for (const auto* text : { "", "x", "-1", "5x", "99999999999999999999999", "4" }) {
        server.era = text;
        EXPECT_TRUE(list()) << text;
    }
    server.era = "3";
    EXPECT_FALSE(list()); // it is of an earlier copy
    EXPECT_EQ(eras, (std::vector<StoreEra> { 5 }));
    EXPECT_EQ(store->era(), 5U);
}

} // namespace arbutuscrank::platform
