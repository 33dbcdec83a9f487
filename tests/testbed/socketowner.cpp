// Finds the owner of a socket by the tables of the kernel.
#include "testbed/socketowner.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace qz::testing {

namespace {

std::uint16_t portOf(const sockaddr_in &address)
{
    return ntohs(address.sin_port);
}

std::uint16_t parsePort(const std::string &hexAddress)
{
    return static_cast<std::uint16_t>(
            std::stoi(hexAddress.substr(hexAddress.find(':') + 1), nullptr, 16));
}

/// Returns the inode of the connected socket with these ports, or an empty text.
std::string findInode(std::uint16_t localPort, std::uint16_t remotePort)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // The heading.
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string skipped;
        std::string inode;
        fields >> number >> local >> remote;
        for (int i = 0; i < 6; ++i) {
            fields >> skipped;
        }
        fields >> inode;
        if (parsePort(local) == localPort && parsePort(remote) == remotePort) {
            return inode;
        }
    }
    return "";
}

bool hasSocket(pid_t process, const std::string &inode)
{
    const std::string target = "socket:[" + inode + "]";
    std::error_code error;
    const std::filesystem::directory_iterator end;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error);
    while (!error && entry != end) {
        if (std::filesystem::read_symlink(entry->path(), error) == target) {
            return true;
        }
        error.clear(); // A descriptor that was closed meanwhile.
        entry.increment(error);
    }
    return false;
}

} // namespace

pid_t findSocketOwner(int descriptor, const std::vector<pid_t> &processes)
{
    sockaddr_in own{};
    sockaddr_in peer{};
    socklen_t size = sizeof own;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&own), &size);
    size = sizeof peer;
    getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size);
    const std::string inode = findInode(portOf(peer), portOf(own));
    for (const pid_t process : processes) {
        if (!inode.empty() && hasSocket(process, inode)) {
            return process;
        }
    }
    return 0;
}

} // namespace qz::testing
