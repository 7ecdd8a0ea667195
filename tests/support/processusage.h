// What the host of a process counts for it.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace TestSupport {

/// A value in KiB of the process's status; 0 if there is none.
std::size_t statusKb(pid_t process, const std::string &name);
std::size_t descriptorCount(pid_t process);
/// Bytes that the kernel has received on the process's TCP sockets and that are not read.
std::size_t unreadBytes(pid_t process);

} // namespace TestSupport
