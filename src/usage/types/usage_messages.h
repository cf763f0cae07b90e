#pragma once

#include "usage/types/ledger_entry.h"
#include "usage/types/order_news.h"

#include <cstdint>
#include <vector>

namespace oriole::usage {

/// Counts that an instance sends to a collector.
struct counts_message {
    std::vector<ledger_entry> entries;
    bool relayed = false; ///< from a collector of another zone, for the instances of that zone
    order_news order;

    friend bool operator==(const counts_message&, const counts_message&) = default;
};

/// A collector's answer to a counts_message: what it now holds of the entries in it.
struct counts_receipt {
    known_totals totals;
    order_news order;

    friend bool operator==(const counts_receipt&, const counts_receipt&) = default;
};

/// The reporter asks a collector for the entries of a window that it lacks.
struct entries_request {
    std::int64_t window = 0;
    known_totals totals; ///< what the asking instance holds of the window

    friend bool operator==(const entries_request&, const entries_request&) = default;
};

/// The answer to an entries_request.
struct entries_answer {
    std::vector<ledger_entry> entries; ///< complete entries of which the asker holds less
    /// First window of which the answering instance has been a collector from the start.
    std::int64_t first_whole_window = 0;

    friend bool operator==(const entries_answer&, const entries_answer&) = default;
};

} // namespace oriole::usage
