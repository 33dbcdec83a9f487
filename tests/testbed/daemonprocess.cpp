// One daemon as a process of its own.
#include "testbed/daemonprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <stdexcept>

namespace qz::testing {

namespace {

std::vector<char *> toPointers(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

DaemonProcess::DaemonProcess(const std::string &program, std::vector<std::string> arguments,
                             const std::vector<std::string> &environment, const std::string &output)
{
    arguments.insert(arguments.begin(), program);
    std::vector<std::string> variables = environment;
    auto argumentPointers = toPointers(arguments);
    auto variablePointers = toPointers(variables);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), flags, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A port of the test's must be closed once the test has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const int error = posix_spawn(&id_, program.c_str(), &actions, nullptr, argumentPointers.data(),
                                  variablePointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + program);
    }
}

DaemonProcess::~DaemonProcess()
{
    if (!hasEnded()) {
        kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
    }
}

void DaemonProcess::send(int signalNumber) const
{
    if (!hasEnded_) {
        kill(id_, signalNumber);
    }
}

bool DaemonProcess::hasEnded()
{
    int status = 0;
    if (!hasEnded_ && waitpid(id_, &status, WNOHANG) == id_) {
        hasEnded_ = true;
        exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return hasEnded_;
}

} // namespace qz::testing
