#pragma once

#include <memory>
#include <utility>

/// \file
/// \brief A part of what a ledger of memory counts.

namespace arbutuscrank::node {

/// \brief Owns one item that a ledger counts. Once it is destroyed, the ledger no longer counts the item.
///
/// The ledger has a member function `release(const Item&) noexcept`.
template <typename Ledger, typename Item> class MemoryShare {
public:
    /// \brief Counts nothing.
    MemoryShare() = default;
    MemoryShare(std::shared_ptr<Ledger> ledger, Item item)
        : m_ledger(std::move(ledger))
        , m_item(std::move(item))
    {
    }
    MemoryShare(MemoryShare&& other) noexcept = default;
    MemoryShare& operator=(MemoryShare&& other) noexcept
    {
        if (this != &other) {
            reset();
            m_ledger = std::move(other.m_ledger);
            m_item = std::move(other.m_item);
        }
        return *this;
    }
    ~MemoryShare() { reset(); }

protected:
    /// \brief The ledger; null if the share counts nothing.
    [[nodiscard]] const std::shared_ptr<Ledger>& ledger() const noexcept { return m_ledger; }
    [[nodiscard]] const Item& item() const noexcept { return m_item; }

private:
    void reset() noexcept
    {
        if (const auto ledger = std::exchange(m_ledger, nullptr))
            ledger->release(m_item);
    }

    std::shared_ptr<Ledger> m_ledger;
    Item m_item {};
};

} // namespace arbutuscrank::node
