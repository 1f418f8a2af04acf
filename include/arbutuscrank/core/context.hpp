#pragma once

#include <arbutuscrank/core/effects.hpp>
#include <arbutuscrank/core/types.hpp>

#include <string>
#include <utility>

/// \file
/// \brief The time and the outbox that each topic receives with an event.

namespace arbutuscrank {

/// \brief Topics that call the store. The low bits of a store token hold the topic, so that the reducer passes the
/// answer to it.
enum class StoreTopic : std::uint8_t { Configuration = 0, Quota = 1, Steering = 2 };

/// Number of low bits of a \ref StoreToken that hold its \ref StoreTopic.
inline constexpr unsigned storeTopicBits = 4;

/// \brief Topic that made the store call with this token.
[[nodiscard]] constexpr StoreTopic topicOf(StoreToken token) noexcept
{
    return static_cast<StoreTopic>(token & ((1U << storeTopicBits) - 1U));
}

/// \brief Time and outbox of the event that is being handled.
struct Context {
    TimePoint now;
    Outbox& outbox;

    /// \brief Adds an effect.
    template <typename E> void effect(E&& value) { outbox.effects.emplace_back(std::forward<E>(value)); }

    /// \brief Adds an event that is handled before the reducer returns.
    template <typename E> void followUp(E&& value) { outbox.followUps.emplace_back(std::forward<E>(value)); }

    /// \brief Sends a message to a peer.
    void send(VmId to, PeerMessage message) { effect(SendMessage { std::move(to), std::move(message) }); }

    /// \brief Writes a numbered log event.
    void log(LogEvent event, std::string detail) { effect(WriteLog { event, std::move(detail) }); }
};

} // namespace arbutuscrank
