#include "node/request_body.hpp"

#include <algorithm>

namespace arbutuscrank::node {

namespace {

    constexpr std::size_t minBlockBytes = 256;
    constexpr std::size_t maxBlockBytes = 64U << 10U;

} // namespace

RequestBytes::Storage& RequestBytes::storage()
{
    if (!m_storage)
        m_storage = std::make_shared<Storage>();
    return *m_storage;
}

void RequestBytes::append(std::string_view bytes)
{
    if (m_isDiscarded || bytes.empty())
        return;
    auto& to = storage();
    to.size += bytes.size();
    while (!bytes.empty()) {
        if (to.blocks.empty() || to.blocks.back().size == to.blocks.back().capacity) {
            // Blocks double in size, so that a body in small pieces takes few of them.
            const auto doubled = to.blocks.empty() ? 0 : 2 * to.blocks.back().capacity;
            const auto capacity = std::clamp(std::max(doubled, bytes.size()), minBlockBytes, maxBlockBytes);
            to.blocks.push_back({ .bytes = std::make_unique_for_overwrite<char[]>(capacity), .capacity = capacity });
            to.allocatedBytes += capacity;
        }
        auto& last = to.blocks.back();
        const auto n = std::min(bytes.size(), last.capacity - last.size);
        std::copy_n(bytes.data(), n, last.bytes.get() + last.size);
        last.size += n;
        bytes.remove_prefix(n);
    }
}

void RequestBytes::keep(CallerMemory::Share share) { storage().share = std::move(share); }

} // namespace arbutuscrank::node
