// Finds the owner of a socket by the tables of the kernel.
#include "testbed/socketowner.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <string>
#include <system_error>

namespace qz::testing {

namespace {

/// Returns the inode of the socket with the addresses @p local and @p remote, or zero.
std::uint32_t findInode(const sockaddr_in &local, const sockaddr_in &remote)
{
    struct
    {
        nlmsghdr header_;
        inet_diag_req_v2 body_;
    } request{};
    request.header_.nlmsg_len = sizeof request;
    request.header_.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header_.nlmsg_flags = NLM_F_REQUEST;
    request.body_.sdiag_family = AF_INET;
    request.body_.sdiag_protocol = IPPROTO_TCP;
    request.body_.idiag_states = ~0U;
    request.body_.id.idiag_sport = local.sin_port;
    request.body_.id.idiag_dport = remote.sin_port;
    request.body_.id.idiag_src[0] = local.sin_addr.s_addr;
    request.body_.id.idiag_dst[0] = remote.sin_addr.s_addr;
    request.body_.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.body_.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    const int diagnosis = socket(AF_NETLINK, SOCK_DGRAM, NETLINK_SOCK_DIAG);
    std::array<char, 4096> answer{};
    const bool isSent = send(diagnosis, &request, sizeof request, 0) == sizeof request;
    const auto size = isSent ? recv(diagnosis, answer.data(), answer.size(), 0) : 0;
    close(diagnosis);
    nlmsghdr header{};
    inet_diag_msg message{};
    if (size < static_cast<ssize_t>(sizeof header + sizeof message)) {
        return 0;
    }
    std::memcpy(&header, answer.data(), sizeof header);
    std::memcpy(&message, answer.data() + NLMSG_HDRLEN, sizeof message);
    return header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? message.idiag_inode : 0;
}

bool hasSocket(pid_t process, std::uint32_t inode)
{
    const std::string target = "socket:[" + std::to_string(inode) + "]";
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
    const std::uint32_t inode = findInode(peer, own);
    for (const pid_t process : processes) {
        if (inode != 0 && hasSocket(process, inode)) {
            return process;
        }
    }
    return 0;
}

} // namespace qz::testing
