// Exit codes that the subcommands share.
#pragma once

namespace quincewick::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // the command was executed and failed
inline constexpr int kExitMisuse = 2;   // invalid flags or an invalid file; nothing was executed

}  // namespace quincewick::cli
