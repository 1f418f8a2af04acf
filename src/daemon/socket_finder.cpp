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

    using GetAddressFunction = int (*)(int, sockaddr*, socklen_t*);

    std::optional<sockaddr_in> readAddress(int fd, GetAddressFunction getAddress)
    {
        sockaddr_storage storage {};
        socklen_t size = sizeof storage;
        if (getAddress(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0 || storage.ss_family != AF_INET)
            return std::nullopt;
        sockaddr_in address {};
        std::memcpy(&address, &storage, sizeof address);
        return address;
    }

    bool matches(int fd, in_addr host, std::uint16_t peerPort, std::uint16_t localPort)
    {
        const auto peer = readAddress(fd, &getpeername);
        if (!peer || peer->sin_addr.s_addr != host.s_addr || ntohs(peer->sin_port) != peerPort)
            return false;
        if (localPort == 0)
            return true;
        const auto local = readAddress(fd, &getsockname);
        return local && ntohs(local->sin_port) == localPort;
    }

} // namespace

int findSocket(
    const std::string& peerHost, std::uint16_t peerPort, std::uint16_t localPort, const std::set<int>& excluded)
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
        if (std::from_chars(entry->d_name, end, fd).ec != std::errc {} || excluded.contains(fd))
            continue;
        if (matches(fd, host, peerPort, localPort))
            return fd;
    }
    return -1;
}

} // namespace arbutuscrank
