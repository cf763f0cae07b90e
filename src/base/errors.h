#pragma once

#include <stdexcept>

namespace oriole {

/// Base class of the project's exceptions. Modules derive a type for each error that a caller
/// handles differently.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The input has findings of severity error, which have been returned to the caller separately.
class invalid_input : public error {
public:
    using error::error;
};

} // namespace oriole
