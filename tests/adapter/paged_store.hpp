#pragma once

#include "node/loopback.hpp"

#include <nlohmann/json.hpp>

#include <boost/asio/read.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Stand-in for the platform's store that serves lists in pages and reads request lines strictly.

namespace arbutuscrank::platform::test {

/// \brief Serves objects in the order of their names, a few on each page, on loopback.
///
/// Paths and queries are decoded as usual: "%XX" is a byte, "+" in a query is a space, "&" separates parameters. A
/// request line with other than three words, or with a "#", is answered with 400; one that is too long with 414.
/// Watches wait until \ref endHistory.
class PagedStore {
public:
    using Json = nlohmann::json;
    using Key = std::pair<std::string, std::string>; ///< kind and name

    /// Limit on request lines, as web servers have it.
    static constexpr std::size_t maxRequestLineBytes = 8U << 10U;

    PagedStore(node::asio::io_context& context, std::size_t pageSize)
        : m_pageSize(pageSize)
        , m_acceptor(context, node::Tcp::endpoint(node::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    [[nodiscard]] node::Tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(endpoint().port()); }

    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    /// \param spec JSON text, which is sent as it is
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        objects[{ kind, name }] = { Json { { "name", name }, { "rev", ++m_revision } }.dump(), spec };
    }

    /// \brief Adds an object whose name cannot be read. Its key is its place in the order of names.
    void putNameless(const std::string& kind, const std::string& key, const std::string& spec)
    {
        objects[{ kind, key }] = { R"({"name":7,"rev":)" + std::to_string(++m_revision) + "}", spec };
    }

    /// \brief Answers all watches with 410, so that their senders list the collections again.
    void endHistory()
    {
        for (const auto& [kind, it] : std::exchange(m_watches, {}))
            answer(it, 410, "{}");
    }

    [[nodiscard]] bool hasWatch(const std::string& kind) const
    {
        return std::ranges::any_of(m_watches, [&](const auto& it) { return it.first == kind; });
    }

    /// JSON texts of an object, which are sent as they are.
    struct Object {
        std::string metadata;
        std::string spec;
    };
    std::map<Key, Object> objects;
    std::vector<std::string> refusedLines; ///< request lines that could not be read
    std::vector<Key> removed;
    std::size_t lists = 0; ///< pages that were sent
    std::map<std::string, std::size_t> listsByKind; ///< as \ref lists
    bool ignoresAfter = false; ///< each page is the first one
    bool refusesUnknownNames = false; ///< answers 400 to a list that is continued after no object's name

private:
    struct Connection {
        explicit Connection(node::Tcp::socket connected)
            : socket(std::move(connected))
        {
        }
        node::Tcp::socket socket;
        std::string received;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Query = std::map<std::string, std::string>;

    void accept()
    {
        m_acceptor.async_accept([this](node::SystemError ec, node::Tcp::socket socket) {
            if (ec)
                return;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    /// Reads a request, whose body must have a length.
    void read(const ConnectionPtr& it)
    {
        node::asio::async_read_until(it->socket, node::asio::dynamic_buffer(it->received), "\r\n\r\n",
            [this, it](node::SystemError ec, std::size_t headBytes) {
                if (ec)
                    return;
                const auto head = it->received.substr(0, headBytes);
                it->received.erase(0, headBytes);
                const auto at = head.find("Content-Length: ");
                const auto bodyBytes = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
                const auto missing = bodyBytes - std::min(bodyBytes, it->received.size());
                node::asio::async_read(it->socket, node::asio::dynamic_buffer(it->received),
                    node::asio::transfer_exactly(missing),
                    [this, it, head, bodyBytes](node::SystemError bodyError, std::size_t) {
                        if (bodyError)
                            return;
                        const auto body = it->received.substr(0, bodyBytes);
                        it->received.erase(0, bodyBytes);
                        handle(it, head.substr(0, head.find("\r\n")), body);
                    });
            });
    }

    static bool hasIncompleteEscape(std::string_view text)
    {
        constexpr std::string_view hexDigits = "0123456789ABCDEFabcdef";
        for (auto at = text.find('%'); at != std::string_view::npos; at = text.find('%', at + 1)) {
            const auto digits = text.substr(at + 1, 2);
            if (digits.size() != 2 || digits.find_first_not_of(hexDigits) != std::string_view::npos)
                return true;
        }
        return false;
    }

    static std::string decode(std::string_view text, bool isQuery)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned byte = 0;
            if (text[i] == '%' && i + 2 < text.size()) {
                std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
                out += static_cast<char>(byte);
                i += 2;
            } else {
                out += isQuery && text[i] == '+' ? ' ' : text[i];
            }
        }
        return out;
    }

    static Query decodeQuery(std::string_view text)
    {
        Query out;
        while (!text.empty()) {
            const auto part = text.substr(0, text.find('&'));
            text.remove_prefix(std::min(part.size() + 1, text.size()));
            const auto equals = std::min(part.find('='), part.size());
            out[std::string(part.substr(0, equals))] = decode(part.substr(std::min(equals + 1, part.size())), true);
        }
        return out;
    }

    void handle(const ConnectionPtr& it, const std::string& line, const std::string& body)
    {
        const bool isTooLong = line.size() > maxRequestLineBytes;
        if (isTooLong || std::ranges::count(line, ' ') != 2 || line.find('#') != std::string::npos
            || hasIncompleteEscape(line)) {
            refusedLines.push_back(line);
            answer(it, isTooLong ? 414 : 400, "{}");
            return;
        }
        const auto method = line.substr(0, line.find(' '));
        const auto target = line.substr(method.size() + 1, line.rfind(' ') - method.size() - 1);
        const auto queryStart = std::min(target.find('?'), target.size());
        const auto query = decodeQuery(std::string_view(target).substr(std::min(queryStart + 1, target.size())));
        constexpr std::string_view prefix = "/v1/objects/";
        const auto path = target.substr(prefix.size(), queryStart - prefix.size());
        const auto slash = std::min(path.find('/'), path.size());
        const Key key { path.substr(0, slash), decode(path.substr(std::min(slash + 1, path.size())), false) };
        if (method == "GET" && query.contains("watch"))
            m_watches.emplace_back(key.first, it);
        else if (method == "GET")
            answerList(it, key.first, query.contains("after") ? query.at("after") : std::string());
        else if (method == "POST")
            create(it, key.first, Json::parse(body));
        else
            change(it, method, key, query, body);
    }

    void create(const ConnectionPtr& it, const std::string& kind, const Json& body)
    {
        const auto name = body.at("metadata").at("name").get<std::string>();
        if (objects.contains({ kind, name })) {
            answer(it, 409, "{}");
            return;
        }
        put(kind, name, body.at("spec").dump());
        answer(it, 200, text(objects.at({ kind, name })));
    }

    void change(
        const ConnectionPtr& it, const std::string& method, const Key& key, const Query& query, const std::string& body)
    {
        const auto found = objects.find(key);
        if (found == objects.end()) {
            answer(it, 404, "{}");
            return;
        }
        const auto expected = method == "PUT" ? Json::parse(body).at("metadata").value("rev", Json())
            : query.contains("rev")           ? Json::parse(query.at("rev"))
                                              : Json();
        if (!expected.is_null() && expected != Json::parse(found->second.metadata).at("rev")) {
            answer(it, 409, text(found->second));
            return;
        }
        if (method == "PUT") {
            put(key.first, key.second, Json::parse(body).at("spec").dump());
            answer(it, 200, text(found->second));
            return;
        }
        removed.push_back(key);
        objects.erase(found);
        answer(it, 200, "{}");
    }

    static std::string text(const Object& object)
    {
        return R"({"metadata":)" + object.metadata + R"(,"spec":)" + object.spec + "}";
    }

    void answerList(const ConnectionPtr& it, const std::string& kind, const std::string& after)
    {
        if (refusesUnknownNames && !after.empty() && !objects.contains({ kind, after }))
            answer(it, 400, "{}");
        else
            answer(it, 200, list(kind, after));
    }

    std::string list(const std::string& kind, const std::string& after)
    {
        ++lists;
        ++listsByKind[kind];
        std::string items;
        std::size_t n = 0;
        bool hasMore = false;
        for (const auto& [key, object] : objects) {
            if (key.first != kind || (!ignoresAfter && !after.empty() && key.second <= after))
                continue;
            hasMore = n == m_pageSize;
            if (hasMore)
                break;
            items += (n++ == 0 ? "" : ",") + text(object);
        }
        return R"({"items":[)" + items + R"(],"hasMore":)" + (hasMore ? "true" : "false") + R"(,"at":)"
            + std::to_string(m_revision) + "}";
    }

    void answer(const ConnectionPtr& it, int status, const std::string& body)
    {
        const auto bytes = std::make_shared<std::string>("HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        node::asio::async_write(
            it->socket, node::asio::buffer(*bytes), [this, it, bytes](node::SystemError ec, std::size_t) {
                if (!ec)
                    read(it);
            });
    }

    std::size_t m_pageSize;
    node::Tcp::acceptor m_acceptor;
    std::vector<std::pair<std::string, ConnectionPtr>> m_watches; ///< by kind
    std::uint64_t m_revision = 100;
};

} // namespace arbutuscrank::platform::test
