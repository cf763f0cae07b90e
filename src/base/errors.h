#pragma once

#include <stdexcept>

namespace oriole {

/// Base class of the project's exceptions. Modules derive a type for each error that the
/// calling code handles differently.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown for input that has findings of severity error. The findings are returned separately to
/// the calling code.
class invalid_input : public error {
public:
    using error::error;
};

} // namespace oriole
