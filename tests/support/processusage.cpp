// Reading of the proc file system.
#include "processusage.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

namespace TestSupport {

std::size_t statusKb(pid_t process, const std::string &name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word) {
        std::size_t n = 0;
        if (word == name + ":" && file >> n)
            return n;
    }
    return 0;
}

std::size_t descriptorCount(pid_t process)
{
    std::size_t n = 0;
    std::error_code ec;
    const std::string path = "/proc/" + std::to_string(process) + "/fd";
    for ([[maybe_unused]] const auto &it : std::filesystem::directory_iterator(path, ec))
        ++n;
    return n;
}

std::size_t unreadBytes(pid_t process)
{
    std::set<std::string> inodes;
    std::error_code ec;
    const std::string path = "/proc/" + std::to_string(process);
    for (const auto &it : std::filesystem::directory_iterator(path + "/fd", ec)) {
        static const std::string PREFIX = "socket:[";
        const std::string target = std::filesystem::read_symlink(it.path(), ec).string();
        if (!ec && target.starts_with(PREFIX))
            inodes.insert(target.substr(PREFIX.size(), target.size() - PREFIX.size() - 1));
    }
    static const std::string LISTENING = "0A"; // its receive queue counts connections
    std::size_t bytes = 0;
    std::ifstream table(path + "/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user
            >> timeout >> inode;
        const std::size_t colon = queues.find(':');
        if (state != LISTENING && colon != std::string::npos && inodes.contains(inode))
            bytes += std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return bytes;
}

} // namespace TestSupport
