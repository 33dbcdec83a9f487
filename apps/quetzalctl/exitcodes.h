// What the exit code of quetzalctl says.
#pragma once

namespace qz {

enum class ExitCode {
    Ok = 0,
    Failed = 1,         ///< The instance reported another error.
    Usage = 2,          ///< Bad arguments, settings or files; nothing was sent.
    InvalidRules = 3,   ///< The document is bad; nothing was changed.
    Conflict = 4,       ///< Somebody else changed the rules; nothing was changed.
    Unavailable = 5,    ///< Not reached, or refused for now; nothing was changed.
    OutcomeUnknown = 6, ///< The change may have been made: ask `rules status`.
    NotFound = 7,
    Unauthorized = 8,
};

} // namespace qz
