#pragma once

namespace oriole::ctl {

/// The exit codes of oriolectl. `findings` also stands for every failed command that has no code of
/// its own; `unreachable` means that the platform does not respond.
enum class exit_code { clean = 0, findings = 1, usage = 2, unreachable = 3 };

} // namespace oriole::ctl
