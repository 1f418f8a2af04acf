#pragma once

#include "node/caller_memory.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Body of a caller's request: blocks that all copies of the request share.

namespace arbutuscrank::node {

/// \brief Bytes of a body. Memory is allocated as they arrive, and never moved. Copies refer to the same bytes.
class RequestBytes {
public:
    struct Block {
        std::unique_ptr<char[]> bytes;
        std::size_t size = 0;
        std::size_t capacity = 0;
    };

    [[nodiscard]] bool empty() const noexcept { return size() == 0; }
    [[nodiscard]] std::uint64_t size() const noexcept { return m_storage ? m_storage->size : 0; }
    [[nodiscard]] std::uint64_t allocatedBytes() const noexcept { return m_storage ? m_storage->allocatedBytes : 0; }
    /// \brief Returns the block with this index, or nullptr if there are fewer.
    [[nodiscard]] const Block* block(std::size_t index) const noexcept
    {
        return m_storage && index < m_storage->blocks.size() ? &m_storage->blocks[index] : nullptr;
    }

    void append(std::string_view bytes);
    /// \brief Drops the bytes, and all that are appended later.
    void discard()
    {
        m_storage.reset();
        m_isDiscarded = true;
    }
    /// \brief Keeps a share of the memory until the last copy of the body is destroyed.
    void keep(CallerMemory::Share share);

private:
    struct Storage {
        std::vector<Block> blocks;
        std::uint64_t size = 0;
        std::uint64_t allocatedBytes = 0;
        CallerMemory::Share share;
    };
    Storage& storage();

    std::shared_ptr<Storage> m_storage;
    bool m_isDiscarded = false;
};

/// \brief The type of body, as the HTTP library expects it.
struct RequestBody {
    using value_type = RequestBytes;

    static std::uint64_t size(const value_type& body) noexcept { return body.size(); }

    class reader { // NOLINT(readability-identifier-naming): the HTTP library looks up this name
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>& /*head*/, value_type& body)
            : m_body(body)
        {
        }
        // An announced length allocates nothing: the bytes may never arrive.
        void init(const boost::optional<std::uint64_t>& /*length*/, boost::system::error_code& ec) { ec = {}; }
        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const auto buf : boost::beast::buffers_range_ref(buffers)) {
                m_body.append({ static_cast<const char*>(buf.data()), buf.size() });
                n += buf.size();
            }
            return n;
        }
        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };

    class writer { // NOLINT(readability-identifier-naming): the HTTP library looks up this name
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool isRequest, typename Fields>
        writer(const boost::beast::http::header<isRequest, Fields>& /*head*/, const value_type& body)
            : m_body(body)
        {
        }
        void init(boost::system::error_code& ec) { ec = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code& ec)
        {
            ec = {};
            const auto* block = m_body.block(m_next);
            if (!block)
                return boost::none;
            ++m_next;
            return std::make_pair(const_buffers_type(block->bytes.get(), block->size), m_body.block(m_next) != nullptr);
        }

    private:
        const value_type& m_body;
        std::size_t m_next = 0;
    };
};

} // namespace arbutuscrank::node
