// Exit statuses that all subcommands share.
#pragma once

namespace quincewick::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // the command ran and what it was asked failed
inline constexpr int kExitMisuse = 2;   // wrong flags or a bad file; nothing was done

}  // namespace quincewick::cli
