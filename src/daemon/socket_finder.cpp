#include "daemon/socket_finder.hpp"

#include <arpa/inet.h>
#include <dirent.h>
#include <sys/socket.h>

#include <charconv>
#include <cstring>
#include <memory>
#include <optional>

namespace arbutuscrank {

namespace {

    using NameFunction = int (*)(int, sockaddr*, socklen_t*);

    std::optional<sockaddr_in> nameOf(int fd, NameFunction function)
    {
        sockaddr_storage storage {};
        socklen_t size = sizeof storage;
        if (function(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0 || storage.ss_family != AF_INET)
            return std::nullopt;
        sockaddr_in name {};
        std::memcpy(&name, &storage, sizeof name);
        return name;
    }

    bool matches(int fd, in_addr host, std::uint16_t peerPort, std::uint16_t localPort)
    {
        const auto peer = nameOf(fd, &getpeername);
        if (!peer || peer->sin_addr.s_addr != host.s_addr || ntohs(peer->sin_port) != peerPort)
            return false;
        if (localPort == 0)
            return true;
        const auto local = nameOf(fd, &getsockname);
        return local && ntohs(local->sin_port) == localPort;
    }

} // namespace

int findSocket(const std::string& peerHost, std::uint16_t peerPort, std::uint16_t localPort, const std::set<int>& known)
{
    in_addr host {};
    if (inet_pton(AF_INET, peerHost.c_str(), &host) != 1)
        return -1;
    const std::unique_ptr<DIR, int (*)(DIR*)> directory(opendir("/proc/self/fd"), &closedir);
    if (!directory)
        return -1;
    // NOLINTNEXTLINE(concurrency-mt-unsafe): each call reads its own directory stream
    while (const auto* entry = readdir(directory.get())) {
        int fd = -1;
        const auto* end = entry->d_name + std::strlen(entry->d_name);
        if (std::from_chars(entry->d_name, end, fd).ec != std::errc {} || known.contains(fd))
            continue;
        if (matches(fd, host, peerPort, localPort))
            return fd;
    }
    return -1;
}

} // namespace arbutuscrank
