#pragma once

#include <string>
#include <utility>
#include <variant>

namespace anvilwalk {

enum class ErrorCode {
    InvalidArgument,
    NotFound,
    // The object already exists, or its version is not the expected one.
    Conflict,
    // The peer or store could not be reached or reported itself unavailable. The request had no effect.
    Unavailable,
    // The request was sent but no response was received. It may have taken effect.
    Unknown,
    // The requested version is no longer available.
    Gone,
    Internal,
};

struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

// A value or an error.
template <class T> using Result = std::variant<T, Error>;

// Result of an operation without a value.
using Status = Result<std::monostate>;

template <class T> bool isOk(const Result<T>& result) { return std::holds_alternative<T>(result); }

// Returns the value of a result. Throws std::bad_variant_access if it holds an error.
template <class T> T& valueOf(Result<T>& result) { return std::get<T>(result); }

template <class T> const T& valueOf(const Result<T>& result) { return std::get<T>(result); }

// Returns the error of a result. Throws std::bad_variant_access if it holds a value.
template <class T> const Error& errorOf(const Result<T>& result) { return std::get<Error>(result); }

} // namespace anvilwalk
