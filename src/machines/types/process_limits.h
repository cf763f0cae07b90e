#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace oriole::machines {

/// What the machine allows one process, and how long clients may take.
struct process_limits {
    std::size_t memory_bytes = std::size_t{512} << 20U;
    std::size_t descriptors = 4096; ///< open files, sockets and pipes
    /// Time in which a client has to send the rest of a message.
    clock::duration unfinished_message = std::chrono::seconds(30);
    /// Time in which a client has to read an answer.
    clock::duration unread_answer = std::chrono::seconds(5);

    friend bool operator==(const process_limits&, const process_limits&) = default;
};

} // namespace oriole::machines
