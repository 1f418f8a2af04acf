#include <arbutuscrank/peer/codec.hpp>

#include "peer/codec_archive.hpp"

#include <exception>
#include <utility>

namespace arbutuscrank {

namespace {

    using peer::Tree;

    /// Version of the message format. A message is the CBOR array [version, type tag, map of fields].
    constexpr std::uint64_t formatVersion = 1;

    /// Larger messages are rejected.
    constexpr std::size_t maxDecodedBytes = 16U << 20U;
    /// A ledger push has the deepest nesting, 7 levels: message, fields, ledger, quotas, quota, holders, holder.
    constexpr std::size_t maxDepth = 8;
    /// A value in the tree takes about 100 bytes, so a malicious message takes at most about 50 MB while it is decoded.
    /// The largest valid message, a ledger of 4,000 quotas with 8 holders each, has about 230,000 values.
    constexpr std::size_t maxValues = 500'000;

    // --- Bounded CBOR parsing ----------------------------------------------------------------------------------------

    /// SAX handler that builds a tree within the limits above. A callback that returns false stops the parser.
    class BoundedTreeBuilder {
    public:
        Tree root;

        bool null() { return false; }
        bool boolean(bool value) { return add(value) != nullptr; }
        bool number_integer(std::int64_t value) { return add(value) != nullptr; } // NOLINT(*-identifier-naming)
        bool number_unsigned(std::uint64_t value) { return add(value) != nullptr; } // NOLINT(*-identifier-naming)
        bool number_float(double /*value*/, const std::string& /*text*/) // NOLINT(*-identifier-naming)
        {
            return false;
        }
        bool string(std::string& value) { return add(std::move(value)) != nullptr; }
        bool binary(Tree::binary_t& value)
        {
            return !value.has_subtype() && add(Tree::binary(std::move(value))) != nullptr;
        }
        bool start_object(std::size_t /*size*/) { return open(Tree::object()); } // NOLINT(*-identifier-naming)
        bool start_array(std::size_t /*size*/) { return open(Tree::array()); } // NOLINT(*-identifier-naming)
        bool key(std::string& name)
        {
            if (m_openContainers.back()->contains(name))
                return false;
            m_key = std::move(name);
            return true;
        }
        bool end_object() { return close(); } // NOLINT(*-identifier-naming)
        bool end_array() { return close(); } // NOLINT(*-identifier-naming)
        bool parse_error( // NOLINT(*-identifier-naming)
            std::size_t /*position*/, const std::string& /*token*/, const Tree::exception& /*error*/)
        {
            return false;
        }

    private:
        Tree* add(Tree value)
        {
            if (++m_valueCount > maxValues)
                return nullptr;
            if (m_openContainers.empty()) {
                root = std::move(value);
                return &root;
            }
            auto& parent = *m_openContainers.back();
            if (parent.is_array()) {
                parent.push_back(std::move(value));
                return &parent.back();
            }
            auto& node = parent[m_key];
            node = std::move(value);
            return &node;
        }
        bool open(Tree value)
        {
            if (m_openContainers.size() >= maxDepth)
                return false;
            auto* node = add(std::move(value));
            if (node == nullptr)
                return false;
            m_openContainers.push_back(node);
            return true;
        }
        bool close()
        {
            m_openContainers.pop_back();
            return true;
        }

        std::vector<Tree*> m_openContainers; ///< path from the root to the container that is being filled
        std::string m_key;
        std::size_t m_valueCount = 0;
    };

    // --- Messages ----------------------------------------------------------------------------------------------------

    Error malformed(std::string detail) { return { ErrorCode::Protocol, "peer.decode", {}, std::move(detail) }; }

    template <std::size_t N> Result<PeerMessage> readMessage(std::uint64_t tag, const Tree& tree)
    {
        if constexpr (N == std::variant_size_v<PeerMessage>) {
            return malformed("type tag " + std::to_string(tag) + " is unknown");
        } else {
            if (tag != N)
                return readMessage<N + 1>(tag, tree);
            std::variant_alternative_t<N, PeerMessage> message;
            peer::TreeReader reader(tree);
            if (reader.ok())
                peer::visitFields(reader, message);
            if (!reader.ok())
                return malformed(
                    "a field of type tag " + std::to_string(tag) + " has the wrong type or is out of range");
            return PeerMessage(std::move(message));
        }
    }

    Result<PeerMessage> decodeTree(const Tree& tree)
    {
        if (!tree.is_array() || tree.size() != 3)
            return malformed("the message is not an array of version, type tag and fields");
        if (!tree[0].is_number_unsigned() || tree[0].get<std::uint64_t>() != formatVersion)
            return malformed("the version of the message is not " + std::to_string(formatVersion));
        if (!tree[1].is_number_unsigned())
            return malformed("the type tag of the message is not an unsigned number");
        return readMessage<0>(tree[1].get<std::uint64_t>(), tree[2]);
    }

} // namespace

std::vector<std::uint8_t> encodeMessage(const PeerMessage& message)
{
    auto fields = std::visit(
        [](auto it) {
            peer::TreeWriter writer;
            peer::visitFields(writer, it);
            return writer.take();
        },
        message);
    return Tree::to_cbor(Tree::array({ formatVersion, message.index(), std::move(fields) }));
}

Result<PeerMessage> decodeMessage(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() > maxDecodedBytes)
        return malformed("message of " + std::to_string(bytes.size()) + " bytes exceeds the limit of 16 MiB");
    try {
        BoundedTreeBuilder builder;
        if (!Tree::sax_parse(bytes.begin(), bytes.end(), &builder, Tree::input_format_t::cbor, true))
            return malformed("the message is not valid CBOR or exceeds a limit (nesting depth 8, 500000 values)");
        return decodeTree(builder.root);
    } catch (const std::exception& e) {
        // The library throws, even with exceptions disabled, for lengths that exceed what its containers can hold.
        return malformed(e.what());
    }
}

// --- Hashes ----------------------------------------------------------------------------------------------------------

namespace peer {

    namespace {

        constexpr std::string_view hexDigits = "0123456789abcdef";

    } // namespace

    Tree packHash(const std::string& hash)
    {
        if (hash.size() != hashHexLength || hash.find_first_not_of(hexDigits) != std::string::npos)
            return hash;
        Tree::binary_t bytes;
        for (std::size_t n = 0; n < hash.size(); n += 2) {
            const auto value = hexDigits.find(hash[n]) * hexDigits.size() + hexDigits.find(hash[n + 1]);
            bytes.push_back(static_cast<std::uint8_t>(value));
        }
        return Tree::binary(std::move(bytes));
    }

    bool unpackHash(const Tree& tree, std::string& hash)
    {
        if (tree.is_string()) {
            hash = tree.get_ref<const std::string&>();
            return true;
        }
        if (!tree.is_binary() || tree.get_binary().size() * 2 != hashHexLength)
            return false;
        hash.clear();
        for (const auto byte : tree.get_binary()) {
            hash.push_back(hexDigits[byte / hexDigits.size()]);
            hash.push_back(hexDigits[byte % hexDigits.size()]);
        }
        return true;
    }

} // namespace peer

} // namespace arbutuscrank
