// One daemon as a process of its own.
#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace qz::testing {

/// Starts a program and ends it with the object.
class DaemonProcess
{
public:
    /// @p output is the file that its standard output and error go to.
    DaemonProcess(const std::string &program, std::vector<std::string> arguments,
                  const std::vector<std::string> &environment, const std::string &output);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    void send(int signalNumber) const;

    /// True once it has ended; its exit status is then known.
    bool hasEnded();
    /// The exit code, or 128 and the signal's number.
    int exitStatus() const { return exitStatus_; }

    pid_t id() const { return id_; }

private:
    pid_t id_ = 0;
    bool hasEnded_ = false;
    int exitStatus_ = -1;
};

} // namespace qz::testing
