// Typed errors and the Result type that every fallible function of the project returns.
#pragma once

#include <absl/time/time.h>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace quincewick {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// What went wrong, by what the caller can do about it.
enum class ErrorCode {
  kInvalidArgument,    // the input is malformed; repeating it cannot help
  kUnauthenticated,    // no key, or an unknown, expired or foreign one
  kPermissionDenied,   // the key is known but lacks the role
  kNotFound,           // the named thing does not exist
  kConflict,           // another writer came first, or a key was reused with another body
  kResourceExhausted,  // a limit, quota or bounded queue is full
  kDeadlineExceeded,   // the time allowed ran out
  kUnavailable,        // the peer cannot be reached or is not ready
  kFenced,             // an order carries an epoch older than one already seen
  kOutcomeUnknown,     // the operation may or may not have taken effect
  kInternal,           // the peer broke its protocol, or a bug on this side
};

// Whether the work that a request asked for was carried out.
enum class Execution {
  kNotRun,   // certainly not run: the caller may send it again
  kUnknown,  // it may have run
  kRan,      // it ran
};

// An error as a value. `execution` is set by the code that knows whether any byte of the work left this
// process.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;  // one line of plain English, without secrets
  Execution execution = Execution::kNotRun;
  absl::Duration retry_after = absl::ZeroDuration();  // when a retry may succeed; zero: unknown
};

// Returns the code's stable, lower-case name as used in JSON bodies and logs.
std::string_view errorCodeName(ErrorCode code);

// Returns "no", "unknown" or "yes": the value of the "ran" field in JSON bodies.
std::string_view executionName(Execution execution);

// A value of type T or an Error. Reading the wrong side is a broken invariant and stops the process.
template <class T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

// Makes the failed side of any Result: `return fail(ErrorCode::kNotFound, "...")`.
inline auto fail(ErrorCode code, std::string message, Execution execution = Execution::kNotRun) {
  return outcome::failure(Error{code, std::move(message), execution});
}

}  // namespace quincewick
